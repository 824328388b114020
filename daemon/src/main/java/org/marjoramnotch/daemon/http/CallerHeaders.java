package org.marjoramnotch.daemon.http;

import java.util.Optional;

/**
 * The values of the headers of a caller's request.
 *
 * @param deadlineMilliseconds time that the caller waits for the answer
 * @param urgent whether the request is served before others of its team
 * @param idempotencyKey distinguishes a resend from a new request, if given
 */
record CallerHeaders(long deadlineMilliseconds, boolean urgent, Optional<String> idempotencyKey) {
    private static final String DEADLINE = "Marjoramnotch-Deadline-Milliseconds";
    private static final long DEFAULT_DEADLINE_MILLISECONDS = 30_000;
    private static final long MAXIMUM_DEADLINE_MILLISECONDS = 600_000;
    private static final int MAXIMUM_KEY_CHARACTERS = 256;

    static CallerHeaders of(HttpCall call) {
        Optional<String> key = call.header("Idempotency-Key");
        key.ifPresent(CallerHeaders::checkKey);
        return new CallerHeaders(
                call.header(DEADLINE)
                        .map(CallerHeaders::parseDeadline)
                        .orElse(DEFAULT_DEADLINE_MILLISECONDS),
                call.header("Marjoramnotch-Urgent").filter("true"::equalsIgnoreCase).isPresent(),
                key);
    }

    private static long parseDeadline(String text) {
        long deadline;
        try {
            deadline = Long.parseLong(text.strip());
        } catch (NumberFormatException failure) {
            deadline = 0;
        }
        if (deadline < 1 || deadline > MAXIMUM_DEADLINE_MILLISECONDS) {
            throw RefusalAnswers.invalidRequest(
                    DEADLINE
                            + " must be a number from 1 to "
                            + MAXIMUM_DEADLINE_MILLISECONDS
                            + ".");
        }
        return deadline;
    }

    private static void checkKey(String key) {
        if (key.isEmpty() || key.length() > MAXIMUM_KEY_CHARACTERS) {
            throw RefusalAnswers.invalidRequest(
                    "Idempotency-Key must have 1 to " + MAXIMUM_KEY_CHARACTERS + " characters.");
        }
    }
}
