package org.marjoramnotch.logic.cell;

import java.util.List;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.logic.replication.ReplicationEffects;
import org.marjoramnotch.logic.replication.StorageWrite;
import org.marjoramnotch.model.order.WorkerCall;

/**
 * What the host of a {@link CellCore} has to do, in the order of the components: nothing is sent
 * before the writes are stored and synced.
 *
 * @param writes to be stored and synced
 * @param messages to other replicas
 * @param replies to requests
 * @param calls to workers
 * @param notes for the log
 */
public record CellEffects(
        List<StorageWrite> writes,
        List<ReplicationEffects.Outgoing> messages,
        List<OutgoingReply> replies,
        List<WorkerCall> calls,
        List<DecisionLogEntry> notes) {}
