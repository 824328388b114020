package org.marjoramnotch.logic.job;

import org.marjoramnotch.logic.ledger.TeamUsage;
import org.marjoramnotch.model.error.Invariant;
import org.marjoramnotch.model.job.TaskEnd;
import org.marjoramnotch.model.job.TaskPhase;
import org.marjoramnotch.model.rule.QueuePolicy;

/** Starts and ends runs, with all counts that follow from it. */
final class TaskRuns {
    private final TeamUsage usage;
    private final JobIndex jobs;
    private JobLedgerListener listener = new NoOpJobLedgerListener();
    private int running;
    private int queued;

    TaskRuns(TeamUsage usage, JobIndex jobs) {
        this.usage = usage;
        this.jobs = jobs;
    }

    void setListener(JobLedgerListener newListener) {
        listener = newListener;
    }

    JobLedgerListener listener() {
        return listener;
    }

    int running() {
        return running;
    }

    int queued() {
        return queued;
    }

    void clear() {
        running = 0;
        queued = 0;
    }

    /** Counts the tasks of a restored job. */
    void restore(JobEntry job) {
        queued += job.queued;
        if (job.running > 0) {
            running += job.running;
            usage.restore(job.team, job.running);
        }
    }

    /** Adds an accepted job, whose tasks all wait. */
    void accept(JobEntry job) {
        jobs.add(job);
        queued += job.queued;
        listener.jobAdded(job);
    }

    void start(ValidatedStart start) {
        TaskEntry task = start.task();
        JobEntry job = task.job;
        Invariant.check(
                job.phase(task) == TaskPhase.QUEUED, "A task is started that does not wait");
        usage.add(job.team, 1);
        start.worker().add(task);
        task.phase = TaskPhase.RUNNING;
        task.lastRun++;
        job.queued--;
        queued--;
        job.running++;
        running++;
        listener.runStarted(task, start.worker());
    }

    void end(TaskEntry task, TaskEnd end) {
        JobEntry job = task.job;
        WorkerEntry worker = task.worker;
        Invariant.check(
                worker != null && task.phase == TaskPhase.RUNNING, "A run is ended that has ended");
        worker.remove(task);
        usage.remove(job.team, 1);
        job.running--;
        running--;
        job.hasSucceededRun |= end == TaskEnd.SUCCEEDED;
        job.mayHaveRun |= end != TaskEnd.NOT_STARTED;
        RetryPolicy.count(task, end);
        listener.runEnded(task, worker, end);
        applyDecision(task, RetryPolicy.decide(task, end));
        finishIfEnded(job);
    }

    /** Lets no further task of the job start. */
    void stop(JobEntry job) {
        if (job.stopping) {
            return;
        }
        queued -= job.queued;
        job.stop();
        listener.jobStopping(job);
    }

    /** Ends the job if nothing of it waits or runs. */
    void finishIfEnded(JobEntry job) {
        if (!job.hasEnded()) {
            return;
        }
        Invariant.check(
                job.stopping || job.succeeded + job.failed == job.tasks.length,
                "A job ended with a task left");
        listener.jobEnded(job);
        jobs.end(job);
    }

    private void applyDecision(TaskEntry task, EndDecision decision) {
        JobEntry job = task.job;
        switch (decision) {
            case SUCCEED -> {
                task.phase = TaskPhase.SUCCEEDED;
                job.succeeded++;
            }
            case QUEUE_AGAIN -> {
                task.phase = TaskPhase.QUEUED;
                job.queued++;
                queued++;
                listener.taskRequeued(task);
            }
            case FAIL -> {
                task.phase = TaskPhase.FAILED;
                job.failed++;
                stopGang(job);
            }
            default -> task.phase = TaskPhase.CANCELLED;
        }
    }

    /** Stops the other tasks of a gang, which are of no use without the failed one. */
    private void stopGang(JobEntry job) {
        if (job.policy == QueuePolicy.GANG) {
            stop(job);
        }
    }
}
