package org.marjoramnotch.model.replication;

/** The kind of vote that a candidate requests. */
public enum VoteKind {
    /** A question whether the receiver would vote for the candidate; the answer is not binding. */
    PRE_VOTE,
    /** A vote after an election timeout. */
    ELECTION,
    /** A vote after the leader gave up its lease in favour of the candidate. */
    TRANSFER
}
