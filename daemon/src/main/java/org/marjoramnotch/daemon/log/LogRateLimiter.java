package org.marjoramnotch.daemon.log;

import java.util.OptionalLong;
import org.marjoramnotch.model.time.Clock;

/** Permits one log line per interval for a repeated error and counts the suppressed lines. */
public final class LogRateLimiter {
    private final Clock clock;
    private final long intervalMilliseconds;
    private boolean passedBefore;
    private long lastPassedMilliseconds;
    private long suppressedLines;

    /** Creates a limiter that permits one line per interval. */
    public LogRateLimiter(Clock clock, long intervalMilliseconds) {
        this.clock = clock;
        this.intervalMilliseconds = intervalMilliseconds;
    }

    /**
     * Returns the number of lines suppressed since the last permitted one, or empty if this line is
     * to be suppressed.
     */
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
