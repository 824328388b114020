package org.marjoramnotch.daemon.metrics;

/** Tells how much of the heap of this process is in use. */
public final class HeapUse {
    private HeapUse() {}

    /** Returns the share of the heap that is free now, before a collection, from 0 to 1. */
    public static double freeShare() {
        Runtime runtime = Runtime.getRuntime();
        long used = runtime.totalMemory() - runtime.freeMemory();
        return 1 - (double) used / runtime.maxMemory();
    }
}
