package org.marjoramnotch.model.replication;

/**
 * Acknowledges entries that are stored and synced.
 *
 * @param term the current term of the follower
 * @param matchIndex the last index up to which its log equals the leader's
 * @param sentAtMilliseconds the send time of the acknowledged message, by the leader's clock
 */
public record AppendAccepted(long term, long matchIndex, long sentAtMilliseconds)
        implements FollowerReply {}
