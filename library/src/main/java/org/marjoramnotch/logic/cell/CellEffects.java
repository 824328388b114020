package org.marjoramnotch.logic.cell;

import java.util.List;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.logic.replication.ReplicationEffects;
import org.marjoramnotch.logic.replication.StorageWrite;
import org.marjoramnotch.model.order.WorkerCall;

/**
 * The effects that the host of a {@link CellCore} must carry out, in the order of the components:
 * nothing may be sent before the writes are stored and synced.
 *
 * @param writes writes to store and sync
 * @param messages messages to other replicas
 * @param replies replies to requests
 * @param calls calls to workers
 * @param decisionLog decisions to write to the process's own log
 */
public record CellEffects(
        List<StorageWrite> writes,
        List<ReplicationEffects.Outgoing> messages,
        List<OutgoingReply> replies,
        List<WorkerCall> calls,
        List<DecisionLogEntry> decisionLog) {}
