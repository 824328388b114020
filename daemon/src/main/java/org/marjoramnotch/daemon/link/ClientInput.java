package org.marjoramnotch.daemon.link;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.CellRequest;

/** Input of the {@link CellClient}'s duty. */
sealed interface ClientInput {
    /**
     * The settings name other replicas.
     *
     * @param replicas their VMs
     */
    record AddReplicas(List<VmId> replicas) implements ClientInput {}

    /** A request to send. */
    record Submit(
            CellRequest request, long deadlineMilliseconds, CompletableFuture<CellReply> result)
            implements ClientInput {}

    /** A reply that came from a replica. */
    record Reply(VmId from, long correlation, CellReply reply) implements ClientInput {}

    /** A link was lost with the requests on it. */
    record LinkLost(VmId replica) implements ClientInput {}
}
