package org.marjoramnotch.model.identifier;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** The name of a team. */
public record TeamName(@JsonValue String value) implements Comparable<TeamName> {
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public TeamName {
        IdentifierCheck.check("team", value);
    }

    @Override
    public int compareTo(TeamName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
