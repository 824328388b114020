package org.marjoramnotch.model.replication;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.util.Optional;

/**
 * An entry of the log. It is encoded without field names, since there are many.
 *
 * @param index its position, from 1 on
 * @param term the term of the leader that appended it
 * @param kind what it holds
 * @param payload the payload of a {@link EntryKind#PAYLOAD}, else empty
 * @param membership the members of a {@link EntryKind#MEMBERSHIP}
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"index", "term", "kind", "payload", "membership"})
public record LogEntry(
        long index, long term, EntryKind kind, byte[] payload, Optional<Membership> membership) {
    private static final int FRAME_BYTES = 64;
    private static final byte[] NO_PAYLOAD = {};

    /** Creates the first entry of a leader's term. */
    public static LogEntry noOp(long index, long term) {
        return new LogEntry(index, term, EntryKind.NO_OP, NO_PAYLOAD, Optional.empty());
    }

    /** Creates an entry that holds a payload. */
    public static LogEntry payload(long index, long term, byte[] payload) {
        return new LogEntry(index, term, EntryKind.PAYLOAD, payload, Optional.empty());
    }

    /** Creates an entry that changes the membership. */
    public static LogEntry membership(long index, long term, Membership membership) {
        return new LogEntry(index, term, EntryKind.MEMBERSHIP, NO_PAYLOAD, Optional.of(membership));
    }

    /** Estimates the encoded size in bytes. */
    public int sizeBytes() {
        return FRAME_BYTES + payload.length;
    }
}
