package org.marjoramnotch.daemon.log;

import java.nio.charset.StandardCharsets;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import org.marjoramnotch.model.time.Clock;

/** Hands log records to a sink as lines, those of libraries at most a few each second. */
final class LineHandler extends Handler {
    private static final String OWN_LOGGERS = "org.marjoramnotch.";
    private static final int LIBRARY_LINES_PER_SECOND = 5;
    private static final long WINDOW_MILLISECONDS = 1_000;

    private final LineSink sink;
    private final Clock clock;
    private final Formatter lines = new LineFormatter();
    private long windowStartedAt;
    private int libraryLines;

    LineHandler(LineSink sink, Clock clock) {
        this.sink = sink;
        this.clock = clock;
    }

    @Override
    public synchronized void publish(LogRecord logged) {
        if (!isLoggable(logged) || !isWithinLimit(String.valueOf(logged.getLoggerName()))) {
            return;
        }
        String event = LineEvents.of(String.valueOf(logged.getMessage()));
        sink.write(
                LinePriority.of(logged.getLevel(), event),
                lines.format(logged).getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void flush() {
        // The sink writes each line without delay.
    }

    @Override
    public void close() {
        // The sink belongs to the process.
    }

    private boolean isWithinLimit(String logger) {
        if (logger.startsWith(OWN_LOGGERS)) {
            return true;
        }
        long now = clock.nowMilliseconds();
        if (now - windowStartedAt >= WINDOW_MILLISECONDS) {
            windowStartedAt = now;
            libraryLines = 0;
        }
        libraryLines++;
        return libraryLines <= LIBRARY_LINES_PER_SECOND;
    }
}
