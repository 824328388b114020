package org.marjoramnotch.model.replication;

/** An answer of a member to a message of its leader; shows that the member still follows it. */
public sealed interface FollowerReply extends ReplicationMessage
        permits AppendAccepted, AppendRejected, SnapshotChunkReply {
    /** Returns the current term of the member. */
    long term();

    /** Returns when the answered message was sent, by the leader's clock. */
    long sentAtMilliseconds();
}
