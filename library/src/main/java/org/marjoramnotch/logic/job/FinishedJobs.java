package org.marjoramnotch.logic.job;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;
import java.util.Queue;

/**
 * Holds ended jobs in the order in which they ended, so that every replica evicts the same ones.
 */
final class FinishedJobs {
    /**
     * Number of ended jobs whose status can still be read and whose request identifiers are still
     * known.
     */
    static final int MAXIMUM_JOBS = 10_000;

    private final Queue<JobEntry> jobs = new ArrayDeque<>();

    /** Adds an ended job and returns the oldest one if it has to be evicted. */
    Optional<JobEntry> add(JobEntry job) {
        jobs.add(job);
        return jobs.size() > MAXIMUM_JOBS ? Optional.of(jobs.remove()) : Optional.empty();
    }

    List<JobEntry> inOrder() {
        return List.copyOf(jobs);
    }

    void clear() {
        jobs.clear();
    }
}
