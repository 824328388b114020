package org.marjoramnotch.model.rule;

/** The kind of workload that a queue carries. */
public enum QueuePolicy {
    /** Requests that an endpoint answers within the same HTTP exchange. */
    QUICK,
    /** Answers that an endpoint streams for as long as the caller listens. */
    FEED,
    /** Jobs of independent tasks. */
    BATCH,
    /** Jobs whose tasks all start at once or not at all. */
    GANG,
    /** Jobs whose tasks run until they are cancelled; a lost task is replaced. */
    SERVICE
}
