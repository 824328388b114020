package org.marjoramnotch.daemon.http;

import java.util.Optional;

/** Reads how long an answer may be held; longer waits are shortened, so that stops stay short. */
final class WaitTime {
    static final long MAXIMUM_MILLISECONDS = 20_000;

    private WaitTime() {}

    static long parse(Optional<String> text) {
        try {
            return bound(text.map(Long::parseLong).orElse(0L));
        } catch (NumberFormatException failure) {
            throw RefusalAnswers.invalidRequest("waitMilliseconds must be a number from 0.");
        }
    }

    static long bound(long milliseconds) {
        if (milliseconds < 0) {
            throw RefusalAnswers.invalidRequest("waitMilliseconds must be a number from 0.");
        }
        return Math.min(milliseconds, MAXIMUM_MILLISECONDS);
    }
}
