package org.marjoramnotch.logic.placement;

import org.marjoramnotch.model.command.ReserveSlot;
import org.marjoramnotch.model.endpoint.EndpointState;
import org.marjoramnotch.model.endpoint.SlotKind;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.rule.QueuePolicy;
import org.marjoramnotch.model.rule.QueueRule;

/**
 * Checks that the queue of a request accepts its kind and that the endpoint of a reservation can
 * take the attempt.
 */
final class PlacementChecks {
    private PlacementChecks() {}

    /**
     * Returns the service that handles requests of this kind on the queue.
     *
     * @throws MarjoramnotchException with {@code WRONG_QUEUE_POLICY} if the queue does not accept
     *     this kind
     */
    static ServiceName requireService(QueueRule queue, SlotKind kind) {
        QueuePolicy required = kind == SlotKind.REQUEST ? QueuePolicy.QUICK : QueuePolicy.FEED;
        if (queue.policy() != required) {
            throw new MarjoramnotchException(
                    ErrorCode.WRONG_QUEUE_POLICY,
                    "Queue "
                            + queue.queue()
                            + " does not accept this kind of work; use a queue of policy "
                            + required
                            + ".");
        }
        return queue.service().orElseThrow();
    }

    /**
     * Returns the endpoint of a reservation.
     *
     * @throws MarjoramnotchException with {@code NO_ENDPOINT} if it cannot take the attempt
     */
    static EndpointSlots requireEndpoint(
            PlacementState state, ReserveSlot command, QueueRule queue) {
        ServiceName service = requireService(queue, command.kind());
        return state.endpoint(command.endpoint())
                .filter(slots -> slots.description().incarnation().equals(command.incarnation()))
                .filter(slots -> slots.description().service().equals(service))
                .filter(slots -> slots.state() == EndpointState.ACTIVE)
                .filter(slots -> slots.hasFreeSlot(command.kind()))
                .orElseThrow(
                        () ->
                                new MarjoramnotchException(
                                        ErrorCode.NO_ENDPOINT,
                                        "Endpoint "
                                                + command.endpoint()
                                                + " accepts no more work; request another one."));
    }
}
