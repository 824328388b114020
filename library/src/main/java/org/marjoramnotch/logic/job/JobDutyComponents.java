package org.marjoramnotch.logic.job;

import org.apache.commons.rng.UniformRandomProvider;
import org.marjoramnotch.logic.configuration.ConfigurationView;
import org.marjoramnotch.logic.ledger.TeamUsage;
import org.marjoramnotch.model.resource.Resources;

/** The parts of a duty, wired once for a term. */
final class JobDutyComponents {
    final JobSettings settings;
    final JobLedger ledger;
    final DutyContext context;
    final WorkerPool pool = new WorkerPool();
    final RunTimeEstimates runTimes = new RunTimeEstimates();
    final JobHistograms histograms;
    final WaitingJobs waiting;
    final TaskPlacer placer;
    final WorkerRequestHandler workers;
    final JobRequestHandler jobs;
    final JobReadRequestHandler readers;
    final StopNotifier stopNotifier;
    final FailureHandler failures;

    JobDutyComponents(
            JobSettings settings,
            ConfigurationView configuration,
            JobLedger ledger,
            TeamUsage usage,
            UniformRandomProvider random,
            long termStartMilliseconds,
            JobMetricsListener measures) {
        this.settings = settings;
        this.ledger = ledger;
        histograms = new JobHistograms(measures);
        context = new DutyContext(termStartMilliseconds);
        waiting = new WaitingJobs(configuration, settings.order());
        workers = new WorkerRequestHandler(settings, ledger, pool, context);
        Preemption preemption = new Preemption(settings, pool, waiting, workers, context);
        placer = new TaskPlacer(settings, usage, waiting, pool, runTimes, preemption, context);
        jobs = new JobRequestHandler(settings, configuration, ledger, pool, context, random);
        readers = new JobReadRequestHandler(context);
        stopNotifier = new StopNotifier(pool);
        failures = new FailureHandler(settings, waiting, pool, context);
    }

    /** Takes over what is in the ledger as a term begins; the only walk over all tasks. */
    void load() {
        for (WorkerEntry worker : ledger.workers()) {
            WorkerSession session = new WorkerSession(worker, context.now());
            pool.add(session);
            workers.watch(session);
        }
        waiting.totalCapacity(pool.total());
        ledger.liveJobs().forEach(this::load);
    }

    /** Returns a job as it waits now; expected long runs count as if they came a little later. */
    QueuedJob newQueuedJob(JobEntry job) {
        double lateness = settings.runTimeWeight() * runTimes.median(job);
        QueuedJob queued = new QueuedJob(job, context.now() + lateness);
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
