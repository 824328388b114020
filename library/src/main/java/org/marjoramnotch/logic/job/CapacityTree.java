package org.marjoramnotch.logic.job;

import java.util.Arrays;
import java.util.function.IntPredicate;
import org.marjoramnotch.model.resource.Resources;

/**
 * Finds slots with enough free capacity in every dimension without scanning all of them. It is a
 * binary tree over the slots whose nodes hold the largest free amount below them in each dimension.
 */
final class CapacityTree {
    private static final int DIMENSIONS = ResourceDimension.ALL.length;
    private static final long ABSENT = -1;

    private int leaves = 1;
    private long[] largest = absent(1);

    /** Sets the free amounts of a slot. */
    void set(int slot, Resources free) {
        while (slot >= leaves) {
            grow();
        }
        for (ResourceDimension dimension : ResourceDimension.ALL) {
            set(slot, dimension.ordinal(), dimension.of(free));
        }
    }

    /** Marks a slot as absent, so that not even a task without resources fits into it. */
    void clear(int slot) {
        if (slot < leaves) {
            for (int dimension = 0; dimension < DIMENSIONS; dimension++) {
                set(slot, dimension, ABSENT);
            }
        }
    }

    /**
     * Returns false, in constant time, if certainly no slot holds the amounts. The maxima of the
     * root may come from different slots, so true does not mean that one slot holds them all.
     */
    boolean mayHold(Resources needed) {
        return nodeMayHold(1, needed);
    }

    /**
     * Returns the first slot, searching cyclically from the given one, that holds the amounts and
     * satisfies the predicate, or -1 if there is none.
     */
    int find(Resources needed, int from, IntPredicate accepted) {
        int found = find(1, 0, leaves, needed, from, accepted);
        return found >= 0 || from == 0 ? found : find(1, 0, leaves, needed, 0, accepted);
    }

    private int find(
            int node, int low, int high, Resources needed, int from, IntPredicate accepted) {
        if (high <= from || !nodeMayHold(node, needed)) {
            return -1;
        }
        if (high - low == 1) {
            return accepted.test(low) ? low : -1;
        }
        int middle = (low + high) / 2;
        int found = find(2 * node, low, middle, needed, from, accepted);
        return found >= 0 ? found : find(2 * node + 1, middle, high, needed, from, accepted);
    }

    private boolean nodeMayHold(int node, Resources needed) {
        int base = node * DIMENSIONS;
        return largest[base] >= needed.processorMillis()
                && largest[base + 1] >= needed.memoryMegabytes()
                && largest[base + 2] >= needed.accelerators();
    }

    private void set(int slot, int dimension, long amount) {
        int node = leaves + slot;
        largest[node * DIMENSIONS + dimension] = amount;
        while (node > 1) {
            node /= 2;
            long left = largest[2 * node * DIMENSIONS + dimension];
            long right = largest[(2 * node + 1) * DIMENSIONS + dimension];
            largest[node * DIMENSIONS + dimension] = Math.max(left, right);
        }
    }

    private void grow() {
        long[] before = largest;
        int leavesBefore = leaves;
        leaves *= 2;
        largest = absent(leaves);
        for (int slot = 0; slot < leavesBefore; slot++) {
            for (int dimension = 0; dimension < DIMENSIONS; dimension++) {
                long amount = before[(leavesBefore + slot) * DIMENSIONS + dimension];
                set(slot, dimension, amount);
            }
        }
    }

    private static long[] absent(int leaves) {
        long[] amounts = new long[2 * leaves * DIMENSIONS];
        Arrays.fill(amounts, ABSENT);
        return amounts;
    }
}
