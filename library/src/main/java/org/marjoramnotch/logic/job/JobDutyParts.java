package org.marjoramnotch.logic.job;

import org.apache.commons.rng.UniformRandomProvider;
import org.marjoramnotch.logic.configuration.ConfigurationView;
import org.marjoramnotch.logic.ledger.TeamUsage;
import org.marjoramnotch.model.resource.Resources;

/** The parts of a duty, wired once for a term. */
final class JobDutyParts {
    final JobSettings settings;
    final JobLedger ledger;
    final DutyContext context;
    final WorkerPool pool = new WorkerPool();
    final RunTimes runTimes = new RunTimes();
    final JobHistograms histograms;
    final WaitingJobs waiting;
    final TaskPlacer placer;
    final WorkerRequests workers;
    final JobRequests jobs;
    final JobReaders readers;
    final StopWaves stops;
    final RunFailures failures;

    JobDutyParts(
            JobSettings settings,
            ConfigurationView configuration,
            JobLedger ledger,
            TeamUsage usage,
            UniformRandomProvider random,
            long termStartMilliseconds,
            JobRunMeasures measures) {
        this.settings = settings;
        this.ledger = ledger;
        histograms = new JobHistograms(measures);
        context = new DutyContext(termStartMilliseconds);
        waiting = new WaitingJobs(configuration, settings.order());
        workers = new WorkerRequests(settings, ledger, pool, context);
        Preemption preemption = new Preemption(settings, pool, waiting, workers, context);
        placer = new TaskPlacer(settings, usage, waiting, pool, runTimes, preemption, context);
        jobs = new JobRequests(settings, configuration, ledger, pool, context, random);
        readers = new JobReaders(context);
        stops = new StopWaves(pool);
        failures = new RunFailures(settings, waiting, pool, context);
    }

    /** Takes over what is in the ledger as a term begins; the only walk over all tasks. */
    void load() {
        for (WorkerEntry worker : ledger.workers()) {
            WorkerSession session = new WorkerSession(worker, context.now());
            pool.add(session);
            workers.watch(session);
        }
        waiting.fleet(pool.total());
        ledger.liveJobs().forEach(this::load);
    }

    /** Returns a job as it waits now; expected long runs count as if they came a little later. */
    QueuedJob queued(JobEntry job) {
        double lateness = settings.runTimeWeight() * runTimes.typical(job);
        QueuedJob queued = new QueuedJob(job, context.now() + lateness);
        queued.waitingSinceMilliseconds = context.now();
        return queued;
    }

    private void load(JobEntry job) {
        for (TaskEntry task : job.tasks) {
            task.sinceMilliseconds = context.now();
            if (task.worker != null) {
                waiting.hold(job, job.perTask(), Resources.NONE);
            }
        }
        waiting.add(queued(job));
        if (job.stopping) {
            stops.add(job);
        }
    }
}
