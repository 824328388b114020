package org.marjoramnotch.logic.cell;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.marjoramnotch.logic.replication.ReplicatedLog;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.ConfigurationAnswer;
import org.marjoramnotch.model.message.Refused;
import org.marjoramnotch.model.message.RulesAnswer;

/**
 * Replies that state what is in force or what does not exist. They are held until a quorum has
 * confirmed that no other leader had changed it before: a leader whose machine was suspended counts
 * its lease by a clock that stood still.
 */
final class UnconfirmedReplies {
    /** Refusals for which a later configuration or state may have removed the reason. */
    private static final Set<ErrorCode> REFUSALS_BY_STATE =
            EnumSet.of(
                    ErrorCode.KEY_REFUSED,
                    ErrorCode.QUEUE_PRIVATE,
                    ErrorCode.UNKNOWN_QUEUE,
                    ErrorCode.WRONG_QUEUE_POLICY,
                    ErrorCode.UNKNOWN_JOB,
                    ErrorCode.JOB_NEVER_FITS,
                    ErrorCode.VERSION_CONFLICT);

    private record UnconfirmedReply(long mark, OutgoingReply reply) {}

    /** In the order of their marks. */
    private final Deque<UnconfirmedReply> replies = new ArrayDeque<>();

    static boolean needsConfirmation(CellReply reply) {
        return reply instanceof ConfigurationAnswer
                || reply instanceof RulesAnswer
                || reply instanceof Refused refused
                        && REFUSALS_BY_STATE.contains(refused.refusal().code());
    }

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
