package org.marjoramnotch.model.identifier;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Identifies a job. */
public record JobId(@JsonValue String value) implements Comparable<JobId> {
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public JobId {
        IdentifierCheck.check("job", value);
    }

    @Override
    public int compareTo(JobId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
