package org.marjoramnotch.model.time;

/** Reads a monotonic time in milliseconds; two readings of one clock may be compared, no others. */
@FunctionalInterface
public interface Clock {
    /** Returns the milliseconds since a fixed origin of this clock's own. */
    long nowMilliseconds();
}
