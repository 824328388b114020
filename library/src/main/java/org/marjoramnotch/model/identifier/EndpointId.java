package org.marjoramnotch.model.identifier;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Identifies an endpoint. */
public record EndpointId(@JsonValue String value) implements Comparable<EndpointId> {
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public EndpointId {
        IdentifierCheck.check("endpoint", value);
    }

    @Override
    public int compareTo(EndpointId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
