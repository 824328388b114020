package org.marjoramnotch.daemon.duty;

import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.logic.replication.ReplicationStatus;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.message.CellRequest;
import org.marjoramnotch.model.message.Done;
import org.marjoramnotch.model.order.CallOutcome;
import org.marjoramnotch.model.replication.ReplicationEnvelope;

/** Input of the {@link CellDuty}. */
public sealed interface CellInput {
    /**
     * A message from another replica.
     *
     * @param envelope the message with sender and receiver
     */
    record Message(ReplicationEnvelope envelope) implements CellInput {}

    /**
     * A request to the leader.
     *
     * @param handle identifies the request in the reply
     * @param request the request
     */
    record Request(RequestHandle handle, CellRequest request) implements CellInput {}

    /**
     * The outcome of a call to a worker.
     *
     * @param outcome the outcome
     */
    record Outcome(CallOutcome outcome) implements CellInput {}

    /**
     * Changed settings that name other replicas.
     *
     * @param contacts the VMs of the replicas
     */
    record UseContacts(Set<VmId> contacts) implements CellInput {}

    /**
     * The operator's command to form a group.
     *
     * @param result done, or failed with the refusal
     */
    record Form(CompletableFuture<Done> result) implements CellInput {}

    /**
     * The operator's command to remove a replica.
     *
     * @param vm the VM of the replica
     * @param result done, or failed with the refusal
     */
    record RemoveReplica(VmId vm, CompletableFuture<Done> result) implements CellInput {}

    /**
     * The notice that the process is about to stop.
     *
     * @param result completed once the handover of leadership has begun
     */
    record PrepareStop(CompletableFuture<Done> result) implements CellInput {}

    /**
     * A request for the replication status of the replica.
     *
     * @param result the status
     */
    record ReadReplication(CompletableFuture<ReplicationStatus> result) implements CellInput {}
}
