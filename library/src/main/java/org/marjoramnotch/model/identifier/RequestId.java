package org.marjoramnotch.model.identifier;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a request of an operator or caller, so that a resend can be told from a new request.
 */
public record RequestId(@JsonValue String value) implements Comparable<RequestId> {
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public RequestId {
        IdentifierCheck.check("request", value);
    }

    @Override
    public int compareTo(RequestId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
