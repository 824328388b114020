package org.marjoramnotch.logic.preemption;

/**
 * A pool at the time of a decision.
 *
 * @param nowMilliseconds the leader's time
 * @param stopMilliseconds how long a stop takes, until its end is applied
 * @param processorMillis capacity of the pool, in thousandths of a processor
 * @param stoppingProcessorMillis how much of it is being stopped
 * @param freedPerMillisecond thousandths of a processor that ends of runs free in a millisecond
 *     without preemption
 */
public record PoolState(
        long nowMilliseconds,
        long stopMilliseconds,
        long processorMillis,
        long stoppingProcessorMillis,
        double freedPerMillisecond) {
    /** Time from the applied end of a run to the start of the next: a commit and a call. */
    private static final long START_MILLISECONDS = 50;

    /** Returns when work can start whose capacity is freed by stops that are sent now. */
    public long startMilliseconds() {
        return nowMilliseconds + stopMilliseconds + START_MILLISECONDS;
    }
}
