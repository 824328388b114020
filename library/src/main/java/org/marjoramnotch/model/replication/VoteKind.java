package org.marjoramnotch.model.replication;

/** Tells what a candidate asks for. */
public enum VoteKind {
    /** Whether the receiver would vote for the candidate; binds nobody. */
    PRE_VOTE,
    /** A vote after an election timeout. */
    ELECTION,
    /** A vote after the leader gave up its lease in favour of the candidate. */
    TRANSFER
}
