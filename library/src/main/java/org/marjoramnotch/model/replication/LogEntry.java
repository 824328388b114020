package org.marjoramnotch.model.replication;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.util.Optional;

/**
 * An entry of the log. It is encoded as an array without field names, since there are many entries.
 *
 * @param index its position in the log, starting at 1
 * @param term the term of the leader that appended it
 * @param kind the kind of its content
 * @param payload the payload of an entry of kind {@link EntryKind#PAYLOAD}, otherwise empty
 * @param membership the membership of an entry of kind {@link EntryKind#MEMBERSHIP}, otherwise
 *     empty
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

    /** Returns the estimated encoded size in bytes. */
    public int sizeBytes() {
        return FRAME_BYTES + payload.length;
    }
}
