package org.marjoramnotch.model.identifier;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Names one request of an operator or caller, so that a resend is told from a new one. */
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
