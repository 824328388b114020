package org.marjoramnotch.logic.workflow;

import java.util.HashSet;
import java.util.Set;
import org.marjoramnotch.model.identifier.JobId;

/**
 * Distinguishes a worker that fails whatever it runs from jobs that fail on any worker: a worker is
 * suspect only after consecutive failures of several workflows without a success in between.
 * Standing tasks fail on healthy workers, too, and never succeed, so their failures only count as
 * recent.
 */
final class ConsecutiveFailures {
    private static final int MINIMUM_FAILURES = 3;
    private static final int MINIMUM_WORKFLOWS = 2;

    /** Time after a failure during which other workers are preferred. */
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

    void onStartGivenUp(long nowMilliseconds) {
        lastFailureAt = nowMilliseconds;
    }

    boolean isSuspect() {
        return failures >= MINIMUM_FAILURES && workflows.size() >= MINIMUM_WORKFLOWS;
    }

    boolean hasRecentFailures(long nowMilliseconds) {
        return nowMilliseconds - lastFailureAt < RECENT_MILLISECONDS;
    }
}
