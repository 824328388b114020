package org.marjoramnotch.logic.cell;

import java.util.List;
import org.marjoramnotch.logic.ledger.Ledger;
import org.marjoramnotch.logic.replication.ReplicationStatus;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.message.StatusAnswer;

/** Summarizes the state of the cell for operators. */
final class StatusReport {
    private StatusReport() {}

    static StatusAnswer of(ReplicationStatus status, Ledger ledger) {
        return new StatusAnswer(
                status.self().vm(),
                status.term(),
                status.commitIndex(),
                ledger.configurationVersion(),
                vms(status.voters()),
                status.voters(),
                vms(status.learners()),
                ledger.endpointCount(),
                ledger.workerCount(),
                ledger.runningCount());
    }

    private static List<VmId> vms(List<ReplicaId> replicas) {
        return replicas.stream().map(ReplicaId::vm).toList();
    }
}
