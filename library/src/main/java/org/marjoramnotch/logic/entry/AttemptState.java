package org.marjoramnotch.logic.entry;

/** The progress that an attempt may have made at its endpoint. */
public enum AttemptState {
    /** No byte of the request was written to a socket, so the work has certainly not run. */
    NOT_SENT,
    /** The first byte was written to a socket, so the work may run. */
    MAYBE_SENT,
    /** The attempt has ended. */
    ENDED
}
