package org.marjoramnotch.daemon.duty;

import java.util.concurrent.TimeUnit;
import org.marjoramnotch.model.time.Clock;

/** The monotonic clock of the operating system. */
public final class SystemClock implements Clock {
    @Override
    public long nowMilliseconds() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
