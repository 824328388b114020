package org.marjoramnotch.logic.leader;

import java.util.List;
import java.util.stream.Stream;

/**
 * A log entry about a decision of the leader, with its inputs and its result.
 *
 * @param event the kind of decision
 * @param fields names and values, alternating
 */
public record DecisionLogEntry(String event, List<Object> fields) {
    /** Creates an entry from alternating names and values. */
    public static DecisionLogEntry of(String event, Object... fields) {
        return new DecisionLogEntry(event, List.of(fields));
    }

    /** Returns this entry with further alternating names and values. */
    public DecisionLogEntry with(Object... further) {
        return new DecisionLogEntry(
                event, Stream.concat(fields.stream(), Stream.of(further)).toList());
    }

    /** Returns this entry with the term and index of a position. */
    public DecisionLogEntry at(LogPosition position) {
        return with("term", position.term(), "index", position.index());
    }
}
