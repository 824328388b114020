package org.marjoramnotch.logic.budget;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Decides from the time that garbage collection takes whether a process with little free memory
 * still gets its work done.
 */
public final class CollectionShare {
    /** Several elections and snapshots fit into this; callers give up before it is over. */
    private static final long WINDOW_MILLISECONDS = 10_000;

    private static final double EXHAUSTED_SHARE = 0.7;
    private static final double SHORT_SHARE = 0.3;

    /** What a sample shows. */
    public enum Finding {
        /** The process gets its work done. */
        NONE,
        /** A large part of the time goes into collections. */
        SHORT,
        /** Most of the time of the whole window went into collections, which freed little. */
        EXHAUSTED
    }

    private record Sample(long atMilliseconds, long collectionMilliseconds) {}

    private final Deque<Sample> samples = new ArrayDeque<>();
    private double latest;

    /** Notes that enough memory is free. */
    public void onEnoughFree() {
        samples.clear();
    }

    /**
     * Adds a sample that was taken with little free memory.
     *
     * @param nowMilliseconds the time on a monotonic clock
     * @param collectionMilliseconds the time that all collections so far have taken
     */
    public Finding update(long nowMilliseconds, long collectionMilliseconds) {
        samples.addLast(new Sample(nowMilliseconds, collectionMilliseconds));
        while (samples.size() > 2
                && nowMilliseconds - second().atMilliseconds() >= WINDOW_MILLISECONDS) {
            samples.removeFirst();
        }
        Sample first = samples.getFirst();
        long elapsed = nowMilliseconds - first.atMilliseconds();
        if (elapsed <= 0) {
            return Finding.NONE;
        }
        latest = (double) (collectionMilliseconds - first.collectionMilliseconds()) / elapsed;
        if (latest >= EXHAUSTED_SHARE && elapsed >= WINDOW_MILLISECONDS) {
            return Finding.EXHAUSTED;
        }
        return latest >= SHORT_SHARE ? Finding.SHORT : Finding.NONE;
    }

    private Sample second() {
        Sample first = samples.removeFirst();
        Sample second = samples.getFirst();
        samples.addFirst(first);
        return second;
    }

    /** Returns the share of the time that collections took, from 0 to 1. */
    public double latest() {
        return latest;
    }
}
