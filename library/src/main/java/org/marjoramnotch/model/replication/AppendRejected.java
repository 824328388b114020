package org.marjoramnotch.model.replication;

/**
 * Rejects entries that do not match the follower's log or that come from the leader of an earlier
 * term.
 *
 * @param term the current term of the follower
 * @param previousIndex the previous index of the rejected message
 * @param nextIndexHint the index from which the leader should try next; the follower skips all its
 *     entries of the conflicting term
 * @param sentAtMilliseconds the send time of the rejected message, by the leader's clock; a time in
 *     the distant past if the message is of an earlier term
 */
public record AppendRejected(
        long term, long previousIndex, long nextIndexHint, long sentAtMilliseconds)
        implements FollowerReply {}
