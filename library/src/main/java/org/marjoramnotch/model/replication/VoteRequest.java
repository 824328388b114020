package org.marjoramnotch.model.replication;

/**
 * Asks for a vote.
 *
 * @param group the group of the candidate
 * @param kind what is asked for
 * @param term the term that the candidate wants to lead
 * @param lastIndex the index of its last entry
 * @param lastTerm the term of its last entry
 */
public record VoteRequest(String group, VoteKind kind, long term, long lastIndex, long lastTerm)
        implements ReplicationMessage {}
