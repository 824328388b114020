package org.marjoramnotch.model.command;

import java.util.Optional;
import org.marjoramnotch.model.endpoint.IdempotencyClaim;
import org.marjoramnotch.model.endpoint.SlotKind;
import org.marjoramnotch.model.identifier.AttemptId;
import org.marjoramnotch.model.identifier.EndpointId;
import org.marjoramnotch.model.identifier.KeyId;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.TeamName;

/**
 * Reserves a slot or feed connection of an endpoint for an attempt; rejected if anything on which
 * the decision relied has changed.
 *
 * @param attempt the attempt
 * @param queue the queue
 * @param team the team to which the work is charged
 * @param key the key that came with the request; empty on open queues
 * @param endpoint the endpoint on which the work will run
 * @param incarnation the endpoint's incarnation
 * @param kind whether a slot or a feed connection is reserved
 * @param claim the claim of an idempotency key, if the request has one
 */
public record ReserveSlot(
        AttemptId attempt,
        QueueName queue,
        TeamName team,
        Optional<KeyId> key,
        EndpointId endpoint,
        String incarnation,
        SlotKind kind,
        Optional<IdempotencyClaim> claim)
        implements Command {}
