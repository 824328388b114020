package org.marjoramnotch.logic.entry;

/** How far an attempt may have come at its endpoint. */
public enum AttemptState {
    /** No byte of the request was handed to a socket; the work is certainly not run. */
    NOT_SENT,
    /** The first byte was handed to a socket; the work may run. */
    MAYBE_SENT,
    /** The attempt is over. */
    ENDED
}
