package org.marjoramnotch.model.endpoint;

import java.util.Optional;
import org.marjoramnotch.model.identifier.AttemptId;
import org.marjoramnotch.model.identifier.EndpointId;
import org.marjoramnotch.model.identifier.KeyId;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.TeamName;

/**
 * An attempt that holds a slot or feed connection of an endpoint.
 *
 * @param attempt the attempt
 * @param queue the queue of the request
 * @param team the team to which it is charged
 * @param key the key that authorizes it; absent on open queues
 * @param endpoint the endpoint whose slot it holds
 * @param kind whether it holds a slot or a feed connection
 * @param claim the idempotency key, if one was sent
 */
public record OpenAttempt(
        AttemptId attempt,
        QueueName queue,
        TeamName team,
        Optional<KeyId> key,
        EndpointId endpoint,
        SlotKind kind,
        Optional<IdempotencyClaim> claim) {}
