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

    /** A million times the largest worker; sums over all tasks of a cell can be counted. */
    private static final long LARGEST_INPUT = 1_000_000_000_000L;

    /** Rejects negative amounts. */
    public Resources {
        if (processorMillis < 0 || memoryMegabytes < 0 || accelerators < 0) {
            throw new MarjoramnotchException(
                    ErrorCode.INVALID_REQUEST,
                    "Resources must not be negative; use amounts from 0.");
        }
    }

    /**
     * Returns amounts that someone sent.
     *
     * @throws MarjoramnotchException with {@code INVALID_REQUEST} if one is negative or larger than
     *     that of any worker or task
     */
    public static Resources ofInput(long processorMillis, long memoryMegabytes, long accelerators) {
        if (Math.max(processorMillis, Math.max(memoryMegabytes, accelerators)) > LARGEST_INPUT) {
            throw new MarjoramnotchException(
                    ErrorCode.INVALID_REQUEST,
                    "Resources must be at most " + LARGEST_INPUT + "; use smaller amounts.");
        }
        return new Resources(processorMillis, memoryMegabytes, accelerators);
    }

    /** Returns the sum. An amount that is too large to count is {@link Long#MAX_VALUE}. */
    public Resources plus(Resources other) {
        return new Resources(
                sum(processorMillis, other.processorMillis),
                sum(memoryMegabytes, other.memoryMegabytes),
                sum(accelerators, other.accelerators));
    }

    /** Returns these amounts for each of several; see {@link #plus}. */
    public Resources times(int count) {
        return new Resources(
                product(processorMillis, count),
                product(memoryMegabytes, count),
                product(accelerators, count));
    }

    /**
     * Returns the difference; the other amounts must fit into these. An amount that was too large
     * to count stays so.
     */
    public Resources minus(Resources other) {
        return new Resources(
                difference(processorMillis, other.processorMillis),
                difference(memoryMegabytes, other.memoryMegabytes),
                difference(accelerators, other.accelerators));
    }

    /**
     * Returns whether the other amounts fit into these in every dimension. An amount that is too
     * large to count fits nowhere.
     */
    public boolean holds(Resources other) {
        return fits(other.processorMillis, processorMillis)
                && fits(other.memoryMegabytes, memoryMegabytes)
                && fits(other.accelerators, accelerators);
    }

    private static boolean fits(long amount, long room) {
        return amount <= room && amount != Long.MAX_VALUE;
    }

    private static long sum(long one, long other) {
        long sum = one + other;
        return sum < 0 ? Long.MAX_VALUE : sum;
    }

    private static long product(long amount, int count) {
        return Math.multiplyHigh(amount, count) == 0 && amount * count >= 0
                ? amount * count
                : Long.MAX_VALUE;
    }

    private static long difference(long from, long amount) {
        return from == Long.MAX_VALUE ? from : from - amount;
    }
}
