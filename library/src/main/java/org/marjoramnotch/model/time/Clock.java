package org.marjoramnotch.model.time;

/**
 * A monotonic clock in milliseconds. Readings of the same clock may be compared with one another,
 * but not with those of another clock.
 */
@FunctionalInterface
public interface Clock {
    /** Returns the milliseconds since a fixed but arbitrary origin. */
    long nowMilliseconds();
}
