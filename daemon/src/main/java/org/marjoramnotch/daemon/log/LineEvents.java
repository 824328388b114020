package org.marjoramnotch.daemon.log;

import java.nio.charset.StandardCharsets;

/** Reads the name of the event from a log line. */
final class LineEvents {
    /** The name for lines without an event, such as those of libraries. */
    static final String NONE = "none";

    private static final String KEY = "event=";

    private LineEvents() {}

    /** Returns the event of a line. */
    static String of(byte[] line) {
        return of(new String(line, StandardCharsets.UTF_8));
    }

    /** Returns the event of a line or message. */
    static String of(String line) {
        int start = line.startsWith(KEY) ? 0 : line.indexOf(' ' + KEY) + 1;
        if (start == 0 && !line.startsWith(KEY)) {
            return NONE;
        }
        int end = start + KEY.length();
        while (end < line.length() && isNameCharacter(line.charAt(end))) {
            end++;
        }
        return end == start + KEY.length() ? NONE : line.substring(start + KEY.length(), end);
    }

    private static boolean isNameCharacter(char character) {
        return character >= 'a' && character <= 'z' || character == '_';
    }
}
