package org.marjoramnotch.logic.replication;

/** The part that a replica plays in its term. */
enum Role {
    /** Follows a leader or waits for one. */
    FOLLOWER,
    /** Asks whether it could win an election. */
    PRE_CANDIDATE,
    /** Asks for votes. */
    CANDIDATE,
    /** Leads the group. */
    LEADER
}
