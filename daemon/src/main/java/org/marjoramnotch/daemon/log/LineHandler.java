package org.marjoramnotch.daemon.log;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import org.marjoramnotch.model.time.Clock;

/** Writes log records to a stream, those of libraries at most a few each second. */
final class LineHandler extends Handler {
    private static final String OWN_LOGGERS = "org.marjoramnotch.";
    private static final int LIBRARY_LINES_PER_SECOND = 5;
    private static final long WINDOW_MILLISECONDS = 1_000;

    private final PrintStream output;
    private final Clock clock;
    private final Formatter lines = new LineFormatter();
    private long windowStartedAt;
    private int libraryLines;

    LineHandler(PrintStream output, Clock clock) {
        this.output = output;
        this.clock = clock;
    }

    @Override
    public synchronized void publish(LogRecord logged) {
        if (!isLoggable(logged) || !isWithinLimit(String.valueOf(logged.getLoggerName()))) {
            return;
        }
        byte[] line = lines.format(logged).getBytes(StandardCharsets.UTF_8);
        output.write(line, 0, line.length);
        output.flush();
    }

    @Override
    public void flush() {
        output.flush();
    }

    @Override
    public void close() {
        flush();
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
