package org.marjoramnotch.model.identifier;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** The name of an availability zone. */
public record AvailabilityZone(@JsonValue String value) implements Comparable<AvailabilityZone> {
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public AvailabilityZone {
        IdentifierCheck.check("availability zone", value);
    }

    @Override
    public int compareTo(AvailabilityZone other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
