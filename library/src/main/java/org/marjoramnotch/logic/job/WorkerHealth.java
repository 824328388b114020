package org.marjoramnotch.logic.job;

import java.util.HashSet;
import java.util.Set;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.job.TaskEnd;

/**
 * Distinguishes a faulty worker from faulty jobs by the number of different jobs that fail on it. A
 * worker is quarantined when several runs of at least two jobs failed on it in a row, without a
 * success in between. It then gets one probe at a time, after a delay that doubles with each failed
 * probe.
 */
final class WorkerHealth {
    private static final int MINIMUM_FAILURES = 3;
    private static final int MINIMUM_JOBS = 2;
    private static final int MAXIMUM_DOUBLINGS = 6;

    private final Set<JobId> failedJobs = new HashSet<>();
    private int failures;
    private int failedProbes;
    private boolean quarantined;
    private boolean probing;
    private boolean probeOpen;
    private long probeMilliseconds;

    /** Records a run that ended and returns whether the quarantine state of the worker changed. */
    boolean onRunEnded(JobId job, TaskEnd end, long nowMilliseconds, long delayMilliseconds) {
        if (end == TaskEnd.SUCCEEDED) {
            return succeeded();
        }
        if (end != TaskEnd.FAILED && end != TaskEnd.NOT_STARTED) {
            return endProbe(nowMilliseconds);
        }
        failures++;
        if (failedJobs.size() < MINIMUM_JOBS) {
            failedJobs.add(job);
        }
        boolean isFaulty = failures >= MINIMUM_FAILURES && failedJobs.size() >= MINIMUM_JOBS;
        if (!isFaulty) {
            return false;
        }
        boolean changed = !quarantined || probing;
        if (changed) {
            quarantined = true;
            probing = false;
            probeMilliseconds = nowMilliseconds + (delayMilliseconds << failedProbes);
            failedProbes = Math.min(MAXIMUM_DOUBLINGS, failedProbes + 1);
        }
        return changed;
    }

    boolean isQuarantined() {
        return quarantined;
    }

    /**
     * Returns whether the worker may get a run. A quarantined worker may get one as a probe only.
     */
    boolean acceptsWork() {
        return !quarantined || probeOpen;
    }

    /** Allows a quarantined worker to get one run. */
    void openProbe() {
        probeOpen = quarantined && !probing;
    }

    long probeMilliseconds() {
        return probeMilliseconds;
    }

    /** Records that a run is proposed for the worker. */
    void onRunProposed() {
        if (quarantined) {
            probing = true;
            probeOpen = false;
        }
    }

    /** Records that a proposed run was refused. If it was a probe, another one may be proposed. */
    void onProposalRefused() {
        if (probing) {
            probing = false;
            probeOpen = true;
        }
    }

    private boolean succeeded() {
        boolean changed = quarantined;
        failures = 0;
        failedJobs.clear();
        failedProbes = 0;
        quarantined = false;
        probing = false;
        return changed;
    }

    private boolean endProbe(long nowMilliseconds) {
        boolean changed = probing;
        probing = false;
        if (changed) {
            probeMilliseconds = nowMilliseconds;
        }
        return changed;
    }
}
