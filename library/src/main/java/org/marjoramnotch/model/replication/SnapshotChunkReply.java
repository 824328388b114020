package org.marjoramnotch.model.replication;

/**
 * Answers a {@link SnapshotChunk}.
 *
 * @param term the current term of the follower
 * @param snapshotIndex of the chunk
 * @param nextOffset the offset that the follower needs next; the total size once it has all
 * @param sentAtMilliseconds of the chunk
 */
public record SnapshotChunkReply(
        long term, long snapshotIndex, long nextOffset, long sentAtMilliseconds)
        implements FollowerReply {}
