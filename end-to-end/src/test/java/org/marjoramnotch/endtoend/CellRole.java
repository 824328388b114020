package org.marjoramnotch.endtoend;

/** Role of a daemon in its cell. */
enum CellRole {
    /** Decides placements and replicates the log. */
    LEADER,
    /** Stores the log. */
    FOLLOWER,
    /** Serves callers and stores nothing. */
    ENTRY
}
