package org.marjoramnotch.logic.job;

import org.jspecify.annotations.Nullable;
import org.marjoramnotch.model.identifier.TaskAttemptId;
import org.marjoramnotch.model.identifier.TaskId;
import org.marjoramnotch.model.job.TaskPhase;

/** A task of a job that has not ended. The object is kept small, since there are many tasks. */
final class TaskEntry {
    final JobEntry job;
    final int number;
    TaskPhase phase = TaskPhase.QUEUED;
    @Nullable WorkerEntry worker;

    /** Index in the list of runs of the worker. */
    int indexOnWorker;

    int lastRun;
    byte failures;
    byte interruptions;

    /**
     * When the task was last queued or started, by the leader's clock; not part of the replicated
     * state.
     */
    long phaseStartMilliseconds;

    TaskEntry(JobEntry job, int number) {
        this.job = job;
        this.number = number;
    }

    TaskAttemptId attempt() {
        return attempt(lastRun);
    }

    TaskAttemptId nextAttempt() {
        return attempt(lastRun + 1);
    }

    boolean isCurrentRun(int run) {
        return phase == TaskPhase.RUNNING && lastRun == run;
    }

    private TaskAttemptId attempt(int run) {
        return new TaskAttemptId(new TaskId(job.id, number), run);
    }
}
