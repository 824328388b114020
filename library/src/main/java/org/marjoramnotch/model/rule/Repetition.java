package org.marjoramnotch.model.rule;

/** States whether work may be run again when its first run may have happened. */
public enum Repetition {
    /** Running it again has no further effect. */
    IDEMPOTENT,
    /** It runs at most once. */
    ONCE
}
