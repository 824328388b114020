package org.marjoramnotch.logic.overload;

/** Sums of core time by the size of the items, in powers of two. */
final class WorkBySize {
    /** Sizes are doubles of at least 1; larger ones than 2^127 share the last power. */
    private static final int POWERS = 128;

    /**
     * An item is outsized from eight times the power of two of the mean, which is at least four
     * times the mean itself. Items of one queue differ less, by their steps and tasks.
     */
    private static final int OUTSIZED_POWERS = 3;

    private final double[] sums = new double[POWERS];
    private double total;
    private double demand;
    private long items;

    void add(double size, double processorMillis) {
        demand += processorMillis;
        sums[powerOf(size)] += size;
        total += size;
        items++;
    }

    double total() {
        return total;
    }

    /** Returns the processor demand of all tasks. */
    double demand() {
        return demand;
    }

    /**
     * Returns the core time that is served before a new item. Small items, which have less work
     * than the mean, are not delayed by outsized ones.
     */
    double before(double size) {
        double mean = items == 0 ? 0 : total / items;
        if (size >= mean) {
            return total;
        }
        double sum = 0;
        for (int power = 0; power < Math.min(POWERS, powerOf(mean) + OUTSIZED_POWERS); power++) {
            sum += sums[power];
        }
        return sum;
    }

    private static int powerOf(double size) {
        return Math.min(POWERS - 1, Math.getExponent(Math.max(1, size)));
    }
}
