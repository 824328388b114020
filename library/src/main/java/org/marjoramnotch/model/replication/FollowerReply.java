package org.marjoramnotch.model.replication;

/**
 * A reply of a member to a message from its leader; it shows that the member still follows that
 * leader.
 */
public sealed interface FollowerReply extends ReplicationMessage
        permits AppendAccepted, AppendRejected, SnapshotChunkReply {
    /** Returns the current term of the member. */
    long term();

    /** Returns when the answered message was sent, by the leader's clock. */
    long sentAtMilliseconds();
}
