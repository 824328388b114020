package org.marjoramnotch.endtoend;

import org.jspecify.annotations.Nullable;

/**
 * The answer that a caller got to one request.
 *
 * @param address the address of the daemon that got the request
 * @param body the unique body that was sent
 * @param status HTTP status; 0 when the connection was lost
 * @param outcome the stated outcome; absent when the connection was lost
 * @param answer the body of the answer
 */
record CallerAnswer(
        String address, String body, int status, @Nullable String outcome, String answer) {
    boolean answered() {
        return status == 200;
    }

    boolean saysNotRun() {
        return "not_run".equals(outcome);
    }
}
