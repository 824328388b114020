package org.marjoramnotch.daemon.log;

import java.util.Arrays;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;

/** Builds a log line of key=value pairs. Values with special characters are quoted. */
public final class LogEvent {
    private static final String UNQUOTED_PUNCTUATION = "._:/#+[]-";
    private static final int MAXIMUM_TRACE_FRAMES = 12;

    private final StringBuilder line;

    private LogEvent(String name) {
        line = new StringBuilder("event=").append(name);
    }

    /** Starts the line of an event. */
    public static LogEvent of(String name) {
        return new LogEvent(name);
    }

    /** Adds a key=value pair. */
    public LogEvent with(String key, Object value) {
        line.append(' ').append(key).append('=').append(quoted(String.valueOf(value)));
        return this;
    }

    /** Writes the line at info level. */
    public void info(Logger logger) {
        logger.info(line);
    }

    /** Writes the line at debug level. */
    public void debug(Logger logger) {
        logger.debug(line);
    }

    /** Writes the line as a warning. */
    public void warn(Logger logger) {
        logger.warn(line);
    }

    /** Writes the line as an error, with its cause and the top of the cause's stack trace. */
    public void error(Logger logger, Throwable cause) {
        with("cause", cause).with("at", traceOf(cause));
        logger.error(line);
    }

    /** Returns the pairs that describe an exception, each with a blank before it. */
    static String fieldsOf(Throwable cause) {
        return " cause=" + quoted(String.valueOf(cause)) + " at=" + quoted(traceOf(cause));
    }

    @Override
    public String toString() {
        return line.toString();
    }

    private static String traceOf(Throwable cause) {
        return Arrays.stream(cause.getStackTrace())
                .limit(MAXIMUM_TRACE_FRAMES)
                .map(StackTraceElement::toString)
                .collect(Collectors.joining(" < "));
    }

    private static String quoted(String value) {
        if (isPlain(value)) {
            return value;
        }
        StringBuilder quoted = new StringBuilder("\"");
        for (int position = 0; position < value.length(); position++) {
            appendEscaped(quoted, value.charAt(position));
        }
        return quoted.append('"').toString();
    }

    private static boolean isPlain(String value) {
        for (int position = 0; position < value.length(); position++) {
            if (!isPlain(value.charAt(position))) {
                return false;
            }
        }
        return !value.isEmpty();
    }

    private static boolean isPlain(char character) {
        return character >= 'a' && character <= 'z'
                || character >= 'A' && character <= 'Z'
                || character >= '0' && character <= '9'
                || UNQUOTED_PUNCTUATION.indexOf(character) >= 0;
    }

    private static void appendEscaped(StringBuilder quoted, char character) {
        switch (character) {
            case '"' -> quoted.append("\\\"");
            case '\\' -> quoted.append("\\\\");
            case '\n' -> quoted.append("\\n");
            case '\r' -> quoted.append("\\r");
            default -> {
                if (Character.isISOControl(character)) {
                    quoted.append(String.format("\\u%04x", (int) character));
                } else {
                    quoted.append(character);
                }
            }
        }
    }
}
