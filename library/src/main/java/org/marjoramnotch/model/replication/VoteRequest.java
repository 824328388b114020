package org.marjoramnotch.model.replication;

/**
 * Asks for a vote.
 *
 * @param group the group of the candidate
 * @param kind the kind of vote that is requested
 * @param term the term for which the candidate wants to become leader
 * @param lastIndex the index of the candidate's last entry
 * @param lastTerm the term of the candidate's last entry
 */
public record VoteRequest(String group, VoteKind kind, long term, long lastIndex, long lastTerm)
        implements ReplicationMessage {}
