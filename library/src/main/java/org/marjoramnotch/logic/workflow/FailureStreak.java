package org.marjoramnotch.logic.workflow;

import java.util.HashSet;
import java.util.Set;
import org.marjoramnotch.model.identifier.JobId;

/**
 * Tells a worker that fails whatever it starts from jobs that fail wherever they run: only failures
 * of several workflows in a row, without a success between, speak against the worker.
 */
final class FailureStreak {
    private static final int LONGEST_STREAK = 3;
    private static final int FEWEST_WORKFLOWS = 2;

    private final Set<JobId> workflows = new HashSet<>();
    private int failures;

    void onDone() {
        workflows.clear();
        failures = 0;
    }

    void onFailure(JobId workflow) {
        workflows.add(workflow);
        failures++;
    }

    boolean isSuspect() {
        return failures >= LONGEST_STREAK && workflows.size() >= FEWEST_WORKFLOWS;
    }

    boolean hasFailures() {
        return failures > 0;
    }
}
