package org.marjoramnotch.logic.entry;

import java.util.Optional;
import org.marjoramnotch.model.endpoint.StoredAnswer;

/**
 * The whole answer of an endpoint.
 *
 * @param status HTTP status
 * @param stored the answer, if its body is short enough to be kept
 */
public record EndpointAnswer(int status, Optional<StoredAnswer> stored) {
    private static final int FIRST_FAILURE_STATUS = 500;

    /** Tells whether the endpoint itself failed. */
    public boolean failed() {
        return status >= FIRST_FAILURE_STATUS;
    }
}
