package org.marjoramnotch.logic.job;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;
import java.util.Queue;

/** Orders ended jobs by their end, so that the same ones are forgotten on every replica. */
final class FinishedJobs {
    /** Ended jobs whose status can still be read and whose requests are still known. */
    static final int MAXIMUM_JOBS = 10_000;

    private final Queue<JobEntry> jobs = new ArrayDeque<>();

    /** Adds an ended job and returns the one to forget for it. */
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
