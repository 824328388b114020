package org.marjoramnotch.model.identifier;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Identifies a key of a team; the identifier is not secret. */
public record KeyId(@JsonValue String value) implements Comparable<KeyId> {
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public KeyId {
        IdentifierCheck.check("key", value);
    }

    @Override
    public int compareTo(KeyId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
