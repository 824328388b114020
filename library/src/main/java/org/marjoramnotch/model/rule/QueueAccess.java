package org.marjoramnotch.model.rule;

/** States whose work a queue takes. */
public enum QueueAccess {
    /** Only work that comes with a key of the team that owns the queue. */
    PRIVATE,
    /** Work that comes with a key of any team, counted for that team. */
    KEYED,
    /** All work, with or without a key, counted for the team that owns the queue. */
    OPEN
}
