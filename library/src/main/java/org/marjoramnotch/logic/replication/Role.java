package org.marjoramnotch.logic.replication;

/** The role of a replica in its current term. */
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
