package org.marjoramnotch.daemon.log;

import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/** Formats a log record as one line of key=value pairs with the time in UTC. */
final class LineFormatter extends Formatter {
    private static final int MILLISECONDS_PER_SECOND = 1_000;

    @Override
    public String format(LogRecord logged) {
        StringBuilder line = new StringBuilder("time=");
        appendTime(line, logged.getMillis());
        line.append(" level=").append(logged.getLevel().getName());
        line.append(" logger=").append(simpleName(String.valueOf(logged.getLoggerName())));
        line.append(' ').append(formatMessage(logged).replace('\n', ' '));
        Throwable thrown = logged.getThrown();
        if (thrown != null) {
            line.append(LogEvent.fieldsOf(thrown));
        }
        return line.append('\n').toString();
    }

    private static void appendTime(StringBuilder line, long epochMilliseconds) {
        LocalDateTime time =
                LocalDateTime.ofEpochSecond(
                        Math.floorDiv(epochMilliseconds, MILLISECONDS_PER_SECOND),
                        0,
                        ZoneOffset.UTC);
        appendPadded(line, time.getYear(), 4);
        appendPadded(line.append('-'), time.getMonthValue(), 2);
        appendPadded(line.append('-'), time.getDayOfMonth(), 2);
        appendPadded(line.append('T'), time.getHour(), 2);
        appendPadded(line.append(':'), time.getMinute(), 2);
        appendPadded(line.append(':'), time.getSecond(), 2);
        long milliseconds = Math.floorMod(epochMilliseconds, MILLISECONDS_PER_SECOND);
        appendPadded(line.append('.'), milliseconds, 3);
        line.append('Z');
    }

    private static void appendPadded(StringBuilder line, long value, int digits) {
        String text = Long.toString(value);
        line.append("0".repeat(Math.max(0, digits - text.length()))).append(text);
    }

    private static String simpleName(String logger) {
        return logger.substring(logger.lastIndexOf('.') + 1);
    }
}
