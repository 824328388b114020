package org.marjoramnotch.logic.cell;

import java.util.ArrayList;
import java.util.List;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.logic.replication.ReplicationEffects;
import org.marjoramnotch.logic.replication.StorageWrite;
import org.marjoramnotch.model.order.WorkerCall;

/** Collects the effects of a {@link CellCore} until they are taken. */
final class CellEffectBuffer {
    final List<StorageWrite> writes = new ArrayList<>();
    final List<ReplicationEffects.Outgoing> messages = new ArrayList<>();
    final List<OutgoingReply> replies = new ArrayList<>();
    final List<WorkerCall> calls = new ArrayList<>();
    final List<DecisionLogEntry> decisionLog = new ArrayList<>();

    /** Returns and removes the effects that were added since the last call. */
    CellEffects take() {
        CellEffects effects =
                new CellEffects(
                        List.copyOf(writes),
                        List.copyOf(messages),
                        List.copyOf(replies),
                        List.copyOf(calls),
                        List.copyOf(decisionLog));
        writes.clear();
        messages.clear();
        replies.clear();
        calls.clear();
        decisionLog.clear();
        return effects;
    }
}
