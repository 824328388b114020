package org.marjoramnotch.logic.workflow;

import java.util.HashSet;
import java.util.Set;
import org.marjoramnotch.model.identifier.JobId;

/**
 * Tells a worker that fails whatever it starts from jobs that fail wherever they run: only failures
 * of several workflows in a row, without a success between, speak against the worker. Standing
 * tasks fail on sound workers, too, and never succeed, so their failures only count as recent.
 */
final class ConsecutiveFailures {
    private static final int MAXIMUM_FAILURES = 3;
    private static final int MINIMUM_WORKFLOWS = 2;

    /** Time for which a failure makes other workers the better choice. */
    private static final long RECENT_MILLISECONDS = 10_000;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final Set<JobId> workflows = new HashSet<>();
    private int failures;
    private long lastFailureAt = NEVER;

    void onSuccess() {
        workflows.clear();
        failures = 0;
        lastFailureAt = NEVER;
    }

    void onFailure(long nowMilliseconds, JobId workflow) {
        workflows.add(workflow);
        failures++;
        lastFailureAt = nowMilliseconds;
    }

    void onStandingFailure(long nowMilliseconds) {
        lastFailureAt = nowMilliseconds;
    }

    boolean isSuspect() {
        return failures >= MAXIMUM_FAILURES && workflows.size() >= MINIMUM_WORKFLOWS;
    }

    boolean hasRecentFailures(long nowMilliseconds) {
        return nowMilliseconds - lastFailureAt < RECENT_MILLISECONDS;
    }
}
