package org.marjoramnotch.daemon.http;

import java.util.Optional;

/**
 * Parses the time for which a response may be held. Longer times are limited, so that the process
 * can stop quickly.
 */
final class WaitTime {
    static final long MAXIMUM_MILLISECONDS = 20_000;

    private WaitTime() {}

    static long parse(Optional<String> text) {
        try {
            return limit(text.map(Long::parseLong).orElse(0L));
        } catch (NumberFormatException failure) {
            throw RefusalAnswers.invalidRequest("waitMilliseconds must be a number of at least 0.");
        }
    }

    static long limit(long milliseconds) {
        if (milliseconds < 0) {
            throw RefusalAnswers.invalidRequest("waitMilliseconds must be a number of at least 0.");
        }
        return Math.min(milliseconds, MAXIMUM_MILLISECONDS);
    }
}
