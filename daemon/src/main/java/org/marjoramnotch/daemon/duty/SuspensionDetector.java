package org.marjoramnotch.daemon.duty;

import java.util.OptionalLong;
import org.marjoramnotch.model.time.Clock;

/**
 * Detects that the machine was suspended while its steady clock stood still: the time of day then
 * gained on the steady clock. A forward step of the time of day looks the same. This class is not
 * thread-safe.
 */
public final class SuspensionDetector {
    /**
     * Above the rounding of both clocks; the leader lease ends at least as long before an election.
     */
    private static final long TOLERANCE_MILLISECONDS = 5;

    /** Longest time between the two steady readings around one of the time of day. */
    private static final long READING_MILLISECONDS = 1;

    private static final int MAXIMUM_READINGS = 4;

    private final Clock steadyClock;
    private final Clock timeOfDay;
    private long difference;

    /**
     * Creates a detector.
     *
     * @param timeOfDay the milliseconds since the Unix epoch
     */
    public SuspensionDetector(Clock steadyClock, Clock timeOfDay) {
        this.steadyClock = steadyClock;
        this.timeOfDay = timeOfDay;
        this.difference = readDifference();
    }

    /** Returns how long the machine was suspended since the last call, if it was. */
    public OptionalLong detect() {
        long current = readDifference();
        long gained = current - difference;
        difference = current;
        return gained > TOLERANCE_MILLISECONDS ? OptionalLong.of(gained) : OptionalLong.empty();
    }

    /** Reads both clocks together: a thread that waits between the readings seems suspended. */
    private long readDifference() {
        long before = steadyClock.nowMilliseconds();
        long read = timeOfDay.nowMilliseconds();
        long after = steadyClock.nowMilliseconds();
        for (int reading = 1;
                after - before > READING_MILLISECONDS && reading < MAXIMUM_READINGS;
                reading++) {
            before = after;
            read = timeOfDay.nowMilliseconds();
            after = steadyClock.nowMilliseconds();
        }
        return read - after;
    }
}
