package org.marjoramnotch.logic.admission;

/**
 * The load of a team.
 *
 * @param weight its relative share when capacity is scarce
 * @param limitProcessorMillis upper limit of its running tasks; 0 for no limit
 * @param runningProcessorMillis what its running tasks have reserved
 * @param waitingProcessorMillis demand of its waiting tasks
 */
public record TeamLoad(
        long weight,
        long limitProcessorMillis,
        long runningProcessorMillis,
        long waitingProcessorMillis) {
    /** Returns the same load with more waiting work. */
    public TeamLoad plusWaiting(long processorMillis) {
        return new TeamLoad(
                weight,
                limitProcessorMillis,
                runningProcessorMillis,
                waitingProcessorMillis + processorMillis);
    }
}
