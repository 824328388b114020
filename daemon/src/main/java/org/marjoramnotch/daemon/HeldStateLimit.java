package org.marjoramnotch.daemon;

/** How much state of workflows this process can hold, derived from its heap. */
final class HeldStateLimit {
    private static final long MEGABYTE = 1024 * 1024;

    /** The process itself, its young generation, and the entries of the log since a snapshot. */
    private static final long OTHER_BYTES = 80 * MEGABYTE;

    /**
     * While a snapshot is written or read, its records and bytes are in memory beside the state and
     * the bytes of the snapshot before.
     */
    private static final double COPIES = 3.5;

    private static final long LEAST_BYTES = 2 * MEGABYTE;

    private HeldStateLimit() {}

    /** Returns the limit for a heap of the given size, in bytes. */
    static long ofHeap(long maximumHeapBytes) {
        return Math.max(LEAST_BYTES, (long) ((maximumHeapBytes - OTHER_BYTES) / COPIES));
    }
}
