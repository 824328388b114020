package org.marjoramnotch.daemon.link;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.CellRequest;

/** An input of the duty of the {@link CellClient}. */
sealed interface ClientInput {
    /**
     * Replicas to which requests may also be sent.
     *
     * @param replicas their VMs
     */
    record AddReplicas(List<VmId> replicas) implements ClientInput {}

    /** A request to send. */
    record Submit(
            CellRequest request, long deadlineMilliseconds, CompletableFuture<CellReply> result)
            implements ClientInput {}

    /** A reply from a replica. */
    record Reply(VmId from, long correlation, CellReply reply) implements ClientInput {}

    /** The loss of a link and of the requests that were sent over it. */
    record LinkLost(VmId replica) implements ClientInput {}
}
