package org.marjoramnotch.model.identifier;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** The name of the service that a group of endpoints offers. */
public record ServiceName(@JsonValue String value) implements Comparable<ServiceName> {
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public ServiceName {
        IdentifierCheck.check("service", value);
    }

    @Override
    public int compareTo(ServiceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
