package org.marjoramnotch.logic.leader;

import java.util.List;

/**
 * A decision for the log: what was decided, from what, with which outcome.
 *
 * @param event the kind of decision
 * @param fields names and values in turn
 */
public record DecisionLogEntry(String event, List<Object> fields) {
    /** Creates a note of names and values in turn. */
    public static DecisionLogEntry of(String event, Object... fields) {
        return new DecisionLogEntry(event, List.of(fields));
    }
}
