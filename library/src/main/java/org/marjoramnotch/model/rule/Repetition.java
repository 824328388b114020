package org.marjoramnotch.model.rule;

/** Determines whether work may be run again if it may already have run. */
public enum Repetition {
    /** The work may run again, since another run has no further effect. */
    IDEMPOTENT,
    /** The work runs at most once. */
    ONCE
}
