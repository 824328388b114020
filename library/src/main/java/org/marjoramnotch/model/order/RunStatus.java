package org.marjoramnotch.model.order;

import org.marjoramnotch.model.workflow.RunId;

/**
 * A run that a worker has, as the worker lists it.
 *
 * @param run the run
 * @param checkpoint the latest checkpoint of the run; empty if there is none
 * @param progressPercent how much of the work is done; 100 for a standing task that is working
 * @param gauge the tail latency in milliseconds of a standing task that serves requests, otherwise
 *     the thousandths of a processor in use; negative if not reported
 */
public record RunStatus(RunId run, String checkpoint, int progressPercent, long gauge) {
    private static final int AT_WORK_PERCENT = 100;

    /** Returns whether a standing task is working. */
    public boolean isAtWork() {
        return progressPercent >= AT_WORK_PERCENT;
    }
}
