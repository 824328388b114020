package org.marjoramnotch.logic.job;

/**
 * Orders slots by what is free of one resource.
 *
 * @param amount what is free
 * @param slot the slot
 */
record FreeAmount(long amount, int slot) implements Comparable<FreeAmount> {
    @Override
    public int compareTo(FreeAmount other) {
        int byAmount = Long.compare(amount, other.amount);
        return byAmount != 0 ? byAmount : Integer.compare(slot, other.slot);
    }
}
