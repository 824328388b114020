package org.marjoramnotch.model.identifier;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Identifies a worker that the platform lends. */
public record WorkerId(@JsonValue String value) implements Comparable<WorkerId> {
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public WorkerId {
        IdentifierCheck.check("worker", value);
    }

    @Override
    public int compareTo(WorkerId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
