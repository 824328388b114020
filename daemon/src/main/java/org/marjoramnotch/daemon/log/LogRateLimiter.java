package org.marjoramnotch.daemon.log;

import java.util.OptionalLong;
import org.marjoramnotch.model.time.Clock;

/** Lets one log line of a repeating fault pass in each interval and counts those held back. */
public final class LogRateLimiter {
    private final Clock clock;
    private final long intervalMilliseconds;
    private boolean passedBefore;
    private long lastPassedMilliseconds;
    private long suppressedLines;

    /** Creates a limit of one line in each interval. */
    public LogRateLimiter(Clock clock, long intervalMilliseconds) {
        this.clock = clock;
        this.intervalMilliseconds = intervalMilliseconds;
    }

    /** Returns how many lines were held back since the last one, or empty to hold back this one. */
    public synchronized OptionalLong tryAcquire() {
        long now = clock.nowMilliseconds();
        if (passedBefore && now - lastPassedMilliseconds < intervalMilliseconds) {
            suppressedLines++;
            return OptionalLong.empty();
        }
        passedBefore = true;
        lastPassedMilliseconds = now;
        long suppressed = suppressedLines;
        suppressedLines = 0;
        return OptionalLong.of(suppressed);
    }
}
