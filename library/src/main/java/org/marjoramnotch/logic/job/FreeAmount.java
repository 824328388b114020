package org.marjoramnotch.logic.job;

/**
 * The free amount of one resource in a slot, ordered by amount and then by slot.
 *
 * @param amount the free amount, in the unit of the resource
 * @param slot the slot
 */
record FreeAmount(long amount, int slot) implements Comparable<FreeAmount> {
    @Override
    public int compareTo(FreeAmount other) {
        int byAmount = Long.compare(amount, other.amount);
        return byAmount != 0 ? byAmount : Integer.compare(slot, other.slot);
    }
}
