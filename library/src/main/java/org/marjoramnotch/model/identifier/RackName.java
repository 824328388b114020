package org.marjoramnotch.model.identifier;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** The name of a rack in an availability zone. */
public record RackName(@JsonValue String value) implements Comparable<RackName> {
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public RackName {
        IdentifierCheck.check("rack", value);
    }

    @Override
    public int compareTo(RackName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
