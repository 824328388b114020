package org.marjoramnotch.model.resource;

import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;

/**
 * Amounts of the resources that a worker has or a task needs.
 *
 * @param processorMillis thousandths of a processor
 * @param memoryMegabytes memory in units of 1,000,000 bytes
 * @param accelerators whole accelerators
 */
public record Resources(long processorMillis, long memoryMegabytes, long accelerators) {
    /** No resources. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /** Rejects negative amounts. */
    public Resources {
        if (processorMillis < 0 || memoryMegabytes < 0 || accelerators < 0) {
            throw new MarjoramnotchException(
                    ErrorCode.INVALID_REQUEST,
                    "Resources must not be negative; use amounts from 0.");
        }
    }

    /** Returns the sum. */
    public Resources plus(Resources other) {
        return new Resources(
                processorMillis + other.processorMillis,
                memoryMegabytes + other.memoryMegabytes,
                accelerators + other.accelerators);
    }

    /** Returns the difference; the other amounts must fit into these. */
    public Resources minus(Resources other) {
        return new Resources(
                processorMillis - other.processorMillis,
                memoryMegabytes - other.memoryMegabytes,
                accelerators - other.accelerators);
    }

    /** Returns whether the other amounts fit into these in every dimension. */
    public boolean holds(Resources other) {
        return other.processorMillis <= processorMillis
                && other.memoryMegabytes <= memoryMegabytes
                && other.accelerators <= accelerators;
    }
}
