package org.marjoramnotch.endtoend;

/** What a daemon is to its cell. */
enum CellRole {
    /** Decides placements and replicates the log. */
    LEADER,
    /** Stores the log. */
    FOLLOWER,
    /** Serves callers and stores nothing. */
    ENTRY
}
