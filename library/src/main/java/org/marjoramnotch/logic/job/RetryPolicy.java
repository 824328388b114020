package org.marjoramnotch.logic.job;

import org.marjoramnotch.model.job.TaskEnd;
import org.marjoramnotch.model.rule.QueuePolicy;
import org.marjoramnotch.model.rule.Repetition;

/** Decides whether a task whose run has ended is run again. */
final class RetryPolicy {
    /** Runs of a task that may fail; the last one fails the task. */
    static final int MAXIMUM_FAILURES = 3;

    /** Runs of a task that may be lost, stopped or refused before the task fails. */
    static final int MAXIMUM_INTERRUPTIONS = 10;

    private RetryPolicy() {}

    /** Decides on a task whose counts already include the run that ended. */
    static EndDecision decide(TaskEntry task, TaskEnd end) {
        JobEntry job = task.job;
        if (job.stopping) {
            return decideWhileStopping(end);
        }
        if (job.policy == QueuePolicy.SERVICE) {
            return EndDecision.QUEUE_AGAIN;
        }
        if (end == TaskEnd.SUCCEEDED) {
            return EndDecision.SUCCEED;
        }
        boolean mayRunAgain = job.repetition == Repetition.IDEMPOTENT || end == TaskEnd.NOT_STARTED;
        boolean triesLeft =
                task.failures < MAXIMUM_FAILURES && task.interruptions < MAXIMUM_INTERRUPTIONS;
        return mayRunAgain && triesLeft ? EndDecision.QUEUE_AGAIN : EndDecision.FAIL;
    }

    /** Counts a run that ended into the task; counts of a service task stay at their bound. */
    static void count(TaskEntry task, TaskEnd end) {
        if (end == TaskEnd.FAILED && task.failures < MAXIMUM_FAILURES) {
            task.failures++;
        } else if (isInterruption(end) && task.interruptions < MAXIMUM_INTERRUPTIONS) {
            task.interruptions++;
        }
    }

    private static boolean isInterruption(TaskEnd end) {
        return end != TaskEnd.SUCCEEDED && end != TaskEnd.FAILED;
    }

    private static EndDecision decideWhileStopping(TaskEnd end) {
        return switch (end) {
            case SUCCEEDED -> EndDecision.SUCCEED;
            case FAILED -> EndDecision.FAIL;
            default -> EndDecision.CANCEL;
        };
    }
}
