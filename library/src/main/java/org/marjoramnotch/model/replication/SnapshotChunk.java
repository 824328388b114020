package org.marjoramnotch.model.replication;

/**
 * Sends a part of a snapshot.
 *
 * @param group the group of the leader
 * @param term the leader's term
 * @param snapshotIndex the last index that the snapshot covers
 * @param snapshotTerm the term of the entry at that index
 * @param membership the membership at that index
 * @param offset the position of the first byte
 * @param totalBytes the size of the whole state
 * @param data the bytes
 * @param sentAtMilliseconds when it was sent, by the leader's clock; returned in the answer
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
