package org.marjoramnotch.logic.job;

import java.util.HashSet;
import java.util.Set;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.job.TaskEnd;

/**
 * Tells a bad worker from bad jobs by the spread of failures: a worker is quarantined when runs of
 * at least two jobs failed on it in a row without any that ended well. It then gets one probe at a
 * time, after a delay that doubles with each failed probe.
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

    /** Counts a run that ended; returns whether the worker's quarantine changed. */
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
        boolean bad = failures >= MINIMUM_FAILURES && failedJobs.size() >= MINIMUM_JOBS;
        if (!bad) {
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

    /** Tells whether the worker may take a run; one as a probe when it is quarantined. */
    boolean acceptsWork() {
        return !quarantined || probeOpen;
    }

    /** Lets a quarantined worker take one run. */
    void openProbe() {
        probeOpen = quarantined && !probing;
    }

    long probeMilliseconds() {
        return probeMilliseconds;
    }

    /** Notes that a run is proposed for the worker. */
    void onRunProposed() {
        if (quarantined) {
            probing = true;
            probeOpen = false;
        }
    }

    /** Notes that a proposed run was refused, so that a probe is still open. */
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
