package org.marjoramnotch.logic.entry;

import java.util.Optional;
import org.marjoramnotch.model.endpoint.StoredAnswer;

/**
 * A complete answer of an endpoint.
 *
 * @param status HTTP status
 * @param stored the answer, if its body is short enough to be stored
 */
public record EndpointAnswer(int status, Optional<StoredAnswer> stored) {
    private static final int FIRST_FAILURE_STATUS = 500;

    /** Returns whether the status reports a failure of the endpoint (5xx). */
    public boolean failed() {
        return status >= FIRST_FAILURE_STATUS;
    }
}
