package org.marjoramnotch.model.replication;

/**
 * Answers a {@link SnapshotChunk}.
 *
 * @param term the current term of the follower
 * @param snapshotIndex the snapshot index of the chunk
 * @param nextOffset the offset that the follower needs next; the total size once it has the whole
 *     state
 * @param sentAtMilliseconds the send time of the chunk, by the leader's clock
 */
public record SnapshotChunkReply(
        long term, long snapshotIndex, long nextOffset, long sentAtMilliseconds)
        implements FollowerReply {}
