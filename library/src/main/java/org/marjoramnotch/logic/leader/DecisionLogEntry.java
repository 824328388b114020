package org.marjoramnotch.logic.leader;

import java.util.List;

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
}
