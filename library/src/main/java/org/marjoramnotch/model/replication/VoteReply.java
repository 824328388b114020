package org.marjoramnotch.model.replication;

/**
 * Answers a {@link VoteRequest}.
 *
 * @param term the current term of the voter
 * @param kind the kind of the request
 * @param requestTerm the term of the request
 * @param granted whether the vote is granted
 */
public record VoteReply(long term, VoteKind kind, long requestTerm, boolean granted)
        implements ReplicationMessage {}
