package org.marjoramnotch.logic.workflow;

import java.util.Locale;
import java.util.regex.MatchResult;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.marjoramnotch.model.fleet.QueueDefinition;

/**
 * A host and a path, or the beginning of one, in the form in which all equivalent spellings are
 * equal.
 *
 * @param host the host in lower case, without a port or the final dot of a complete name
 * @param path the path, in which only those characters are escaped that must be
 */
record CallAddress(String host, String path) {
    private static final Pattern PORT = Pattern.compile(":\\d*$");
    private static final Pattern ESCAPE = Pattern.compile("%([0-9A-Fa-f]{2})");
    private static final Pattern UNRESERVED = Pattern.compile("[A-Za-z0-9._~-]");
    private static final int HEXADECIMAL = 16;

    /** Returns the address of a host and a path as they were sent. */
    static CallAddress of(String host, String path) {
        return new CallAddress(normalizeHost(host), normalizePath(path));
    }

    /** Returns the address that the calls of a queue begin with. */
    static CallAddress of(QueueDefinition queue) {
        return of(queue.host(), queue.pathPrefix());
    }

    private static String normalizeHost(String host) {
        String name = PORT.matcher(host).replaceFirst("").toLowerCase(Locale.ROOT);
        return name.endsWith(".") ? name.substring(0, name.length() - 1) : name;
    }

    /** Normalizes escapes as of RFC 3986, section 6.2.2. */
    private static String normalizePath(String path) {
        return path.indexOf('%') < 0
                ? path
                : ESCAPE.matcher(path)
                        .replaceAll(escape -> Matcher.quoteReplacement(normalizeEscape(escape)));
    }

    private static String normalizeEscape(MatchResult escape) {
        char character = (char) Integer.parseInt(escape.group(1), HEXADECIMAL);
        String text = String.valueOf(character);
        return UNRESERVED.matcher(text).matches() ? text : escape.group().toUpperCase(Locale.ROOT);
    }
}
