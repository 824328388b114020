package org.marjoramnotch.model.rule;

/** The kind of workload that a queue carries. */
public enum QueuePolicy {
    /** Requests answered in the same exchange by an endpoint slot. */
    QUICK,
    /** Answers streamed for as long as the caller listens. */
    FEED,
    /** Jobs of independent tasks. */
    BATCH,
    /** Jobs whose tasks all start at once or not at all. */
    GANG,
    /** Jobs whose tasks run until they are cancelled and are replaced when lost. */
    SERVICE
}
