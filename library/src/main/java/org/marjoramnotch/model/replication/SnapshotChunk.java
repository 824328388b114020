package org.marjoramnotch.model.replication;

/**
 * Sends a chunk of a snapshot.
 *
 * @param group the group of the leader
 * @param term the leader's term
 * @param snapshotIndex the last index that the snapshot covers
 * @param snapshotTerm the term of the entry at that index
 * @param membership the membership at that index
 * @param offset the position of the first byte of the chunk in the state
 * @param totalBytes the size of the whole state in bytes
 * @param data the bytes of the chunk
 * @param sentAtMilliseconds the send time by the leader's clock; it is returned in the reply
 */
public record SnapshotChunk(
        String group,
        long term,
        long snapshotIndex,
        long snapshotTerm,
        Membership membership,
        long offset,
        long totalBytes,
        byte[] data,
        long sentAtMilliseconds)
        implements ReplicationMessage {}
