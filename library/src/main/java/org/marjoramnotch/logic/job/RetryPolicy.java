package org.marjoramnotch.logic.job;

import org.marjoramnotch.model.job.TaskEnd;
import org.marjoramnotch.model.rule.QueuePolicy;
import org.marjoramnotch.model.rule.Repetition;

/**
 * Decides what happens to a task after one of its runs has ended, in particular whether it is run
 * again.
 */
final class RetryPolicy {
    /** Number of failed runs after which a task fails. */
    static final int MAXIMUM_FAILURES = 3;

    /** Number of lost, stopped or refused runs after which a task fails. */
    static final int MAXIMUM_INTERRUPTIONS = 10;

    private RetryPolicy() {}

    /** Returns the decision on a task. Its counts must already include the run that ended. */
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
        boolean retriesLeft =
                task.failures < MAXIMUM_FAILURES && task.interruptions < MAXIMUM_INTERRUPTIONS;
        return mayRunAgain && retriesLeft ? EndDecision.QUEUE_AGAIN : EndDecision.FAIL;
    }

    /**
     * Adds a run that ended to the counts of its task. The counts stop at their maximum, since the
     * tasks of a service are run again without limit.
     */
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
