package org.marjoramnotch.logic.cell;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.marjoramnotch.logic.replication.ReplicatedLog;

/**
 * Replies from the state, which are held until a quorum has confirmed that no other leader had
 * changed it before: a leader whose machine was suspended counts its lease by a clock that stood
 * still.
 */
final class UnconfirmedReplies {
    private record UnconfirmedReply(long mark, OutgoingReply reply) {}

    /** In the order of their marks. */
    private final Deque<UnconfirmedReply> replies = new ArrayDeque<>();

    /** Holds a reply until the log has confirmed the mark. */
    void add(long mark, OutgoingReply reply) {
        replies.add(new UnconfirmedReply(mark, reply));
    }

    /** Returns and removes the replies whose marks the log has confirmed. */
    List<OutgoingReply> takeConfirmed(ReplicatedLog log) {
        List<OutgoingReply> confirmed = new ArrayList<>();
        while (!replies.isEmpty() && log.isConfirmed(replies.peek().mark())) {
            confirmed.add(replies.remove().reply());
        }
        return confirmed;
    }

    /** Returns and removes all replies. */
    List<OutgoingReply> takeAll() {
        List<OutgoingReply> all = replies.stream().map(UnconfirmedReply::reply).toList();
        replies.clear();
        return all;
    }
}
