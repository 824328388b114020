package org.marjoramnotch.logic.job;

import org.apache.commons.rng.UniformRandomProvider;
import org.marjoramnotch.logic.configuration.ConfigurationView;
import org.marjoramnotch.logic.ledger.TeamUsage;
import org.marjoramnotch.model.resource.Resources;

/** The components of a {@link JobDuty}, created and connected once per term. */
final class JobDutyComponents {
    final JobSettings settings;
    final JobLedger ledger;
    final DutyContext context;
    final WorkerPool pool = new WorkerPool();
    final RunTimeEstimates runTimes = new RunTimeEstimates();
    final JobHistograms histograms;
    final WaitingJobs waiting;
    final TaskPlacer placer;
    final WorkerRequestHandler workerRequests;
    final JobRequestHandler jobRequests;
    final JobReadRequestHandler readRequests;
    final StopNotifier stopNotifier;
    final FailureHandler failureHandler;

    JobDutyComponents(
            JobSettings settings,
            ConfigurationView configuration,
            JobLedger ledger,
            TeamUsage usage,
            UniformRandomProvider random,
            long termStartMilliseconds,
            JobMetricsListener metricsListener) {
        this.settings = settings;
        this.ledger = ledger;
        histograms = new JobHistograms(metricsListener);
        context = new DutyContext(termStartMilliseconds);
        waiting = new WaitingJobs(configuration, settings.order());
        workerRequests = new WorkerRequestHandler(settings, ledger, pool, context);
        Preemption preemption = new Preemption(settings, pool, waiting, workerRequests, context);
        placer = new TaskPlacer(settings, usage, waiting, pool, runTimes, preemption, context);
        jobRequests = new JobRequestHandler(settings, configuration, ledger, pool, context, random);
        readRequests = new JobReadRequestHandler(context);
        stopNotifier = new StopNotifier(pool);
        failureHandler = new FailureHandler(settings, waiting, pool, context);
    }

    /**
     * Loads the state of the ledger at the start of a term. This is the only iteration over all
     * tasks.
     */
    void load() {
        for (WorkerEntry worker : ledger.workers()) {
            WorkerSession session = new WorkerSession(worker, context.now());
            pool.add(session);
            workerRequests.watch(session);
        }
        waiting.setTotalCapacity(pool.total());
        ledger.liveJobs().forEach(this::load);
    }

    /**
     * Returns the queue entry of a job that starts to wait now. Its order key is the current time
     * plus a fraction of its estimated run time, so that a long job ranks behind a short one that
     * came slightly later.
     */
    QueuedJob newQueuedJob(JobEntry job) {
        double runTimePenalty = settings.runTimeWeight() * runTimes.median(job);
        QueuedJob queued = new QueuedJob(job, context.now() + runTimePenalty);
        queued.waitingSinceMilliseconds = context.now();
        return queued;
    }

    private void load(JobEntry job) {
        for (TaskEntry task : job.tasks) {
            task.phaseStartMilliseconds = context.now();
            if (task.worker != null) {
                waiting.changeHeldResources(job, job.perTask(), Resources.NONE);
            }
        }
        waiting.add(newQueuedJob(job));
        if (job.stopping) {
            stopNotifier.add(job);
        }
    }
}
