package org.marjoramnotch.model.replication;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** A message between two replicas of a log. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = VoteRequest.class, name = "vote-request"),
    @JsonSubTypes.Type(value = VoteReply.class, name = "vote-reply"),
    @JsonSubTypes.Type(value = AppendEntries.class, name = "append"),
    @JsonSubTypes.Type(value = AppendAccepted.class, name = "append-accepted"),
    @JsonSubTypes.Type(value = AppendRejected.class, name = "append-rejected"),
    @JsonSubTypes.Type(value = SnapshotChunk.class, name = "snapshot-chunk"),
    @JsonSubTypes.Type(value = SnapshotChunkReply.class, name = "snapshot-chunk-reply"),
    @JsonSubTypes.Type(value = TimeoutNow.class, name = "timeout-now"),
    @JsonSubTypes.Type(value = JoinRequest.class, name = "join-request"),
    @JsonSubTypes.Type(value = JoinReply.class, name = "join-reply"),
    @JsonSubTypes.Type(value = FoundingProbe.class, name = "founding-probe"),
    @JsonSubTypes.Type(value = FoundingAttestation.class, name = "founding-attestation"),
    @JsonSubTypes.Type(value = FoundingNotice.class, name = "founding-notice")
})
public sealed interface ReplicationMessage
        permits VoteRequest,
                VoteReply,
                AppendEntries,
                SnapshotChunk,
                FollowerReply,
                TimeoutNow,
                JoinRequest,
                JoinReply,
                FoundingMessage {}
