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
 * Reserves a slot or feed connection of an endpoint for an attempt; refused when anything it rests
 * on has changed.
 *
 * @param attempt the attempt
 * @param queue the queue
 * @param team the team that the work counts for
 * @param key the key that came with the work; absent on open queues
 * @param endpoint where it is to run
 * @param incarnation the endpoint's incarnation
 * @param kind slot or feed connection
 * @param claim the idempotency key, if one came
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
