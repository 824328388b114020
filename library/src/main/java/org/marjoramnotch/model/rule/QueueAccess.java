package org.marjoramnotch.model.rule;

/** Determines whose work a queue accepts. */
public enum QueueAccess {
    /** Only work sent with a key of the team that owns the queue. */
    PRIVATE,
    /** Work sent with a key of any team, counted for that team. */
    KEYED,
    /** All work, with or without a key, counted for the team that owns the queue. */
    OPEN
}
