package org.marjoramnotch.logic.job;

import org.marjoramnotch.logic.ledger.TeamUsage;
import org.marjoramnotch.model.error.Invariant;
import org.marjoramnotch.model.job.TaskEnd;
import org.marjoramnotch.model.job.TaskPhase;
import org.marjoramnotch.model.rule.QueuePolicy;

/** Starts and ends runs, and maintains all counts that depend on them. */
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

    /** Adds an accepted job; all its tasks are queued. */
    void accept(JobEntry job) {
        jobs.add(job);
        queued += job.queued;
        listener.jobAdded(job);
    }

    void start(ValidatedStart start) {
        TaskEntry task = start.task();
        JobEntry job = task.job;
        Invariant.check(
                job.phase(task) == TaskPhase.QUEUED, "A task was started that is not queued");
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
                worker != null && task.phase == TaskPhase.RUNNING,
                "A run was ended that has already ended");
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

    /** Prevents further tasks of the job from starting. */
    void stop(JobEntry job) {
        if (job.stopping) {
            return;
        }
        queued -= job.queued;
        job.stop();
        listener.jobStopping(job);
    }

    /** Ends the job if none of its tasks is queued or running. */
    void finishIfEnded(JobEntry job) {
        if (!job.hasEnded()) {
            return;
        }
        Invariant.check(
                job.stopping || job.succeeded + job.failed == job.tasks.length,
                "A job ended although not all of its tasks have ended");
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

    /** Stops the other tasks of a gang, which are useless without the failed one. */
    private void stopGang(JobEntry job) {
        if (job.policy == QueuePolicy.GANG) {
            stop(job);
        }
    }
}
