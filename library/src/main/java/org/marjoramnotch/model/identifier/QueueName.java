package org.marjoramnotch.model.identifier;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** The name of a queue that work is submitted to. */
public record QueueName(@JsonValue String value) implements Comparable<QueueName> {
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public QueueName {
        IdentifierCheck.check("queue", value);
    }

    @Override
    public int compareTo(QueueName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
