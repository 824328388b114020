package org.marjoramnotch.endtoend;

import org.jspecify.annotations.Nullable;

/**
 * What a caller was told of one request.
 *
 * @param address the daemon that was asked
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
