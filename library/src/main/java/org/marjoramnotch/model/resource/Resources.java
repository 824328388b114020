package org.marjoramnotch.model.resource;

import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;

/**
 * An amount of what a worker has and a task needs.
 *
 * @param processorMillis thousandths of a processor
 * @param memoryMegabytes memory in units of 1,000,000 bytes
 * @param accelerators whole accelerators
 */
public record Resources(long processorMillis, long memoryMegabytes, long accelerators) {
    /** Nothing. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /** Refuses negative amounts. */
    public Resources {
        if (processorMillis < 0 || memoryMegabytes < 0 || accelerators < 0) {
            throw new MarjoramnotchException(
                    ErrorCode.INVALID_REQUEST, "Resources are not negative; give amounts from 0.");
        }
    }

    /** Returns the sum of both. */
    public Resources plus(Resources other) {
        return new Resources(
                processorMillis + other.processorMillis,
                memoryMegabytes + other.memoryMegabytes,
                accelerators + other.accelerators);
    }

    /** Returns what is left without the other; the other must fit. */
    public Resources minus(Resources other) {
        return new Resources(
                processorMillis - other.processorMillis,
                memoryMegabytes - other.memoryMegabytes,
                accelerators - other.accelerators);
    }

    /** Tells whether the other fits into this in every dimension. */
    public boolean holds(Resources other) {
        return other.processorMillis <= processorMillis
                && other.memoryMegabytes <= memoryMegabytes
                && other.accelerators <= accelerators;
    }
}
