package org.marjoramnotch.model.identifier;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Identifies a VM of the system. */
public record VmId(@JsonValue String value) implements Comparable<VmId> {
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public VmId {
        IdentifierCheck.check("vm", value);
    }

    @Override
    public int compareTo(VmId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
