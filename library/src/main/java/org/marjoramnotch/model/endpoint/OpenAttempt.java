package org.marjoramnotch.model.endpoint;

import java.util.Optional;
import org.marjoramnotch.model.identifier.AttemptId;
import org.marjoramnotch.model.identifier.EndpointId;
import org.marjoramnotch.model.identifier.KeyId;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.TeamName;

/**
 * An attempt that holds a slot or feed connection.
 *
 * @param attempt the attempt
 * @param queue the queue that it came by
 * @param team the team that it counts for
 * @param key the key that it rests on; absent on open queues
 * @param endpoint the endpoint that it holds a slot of
 * @param kind what it holds
 * @param claim the idempotency key, if one came
 */
public record OpenAttempt(
        AttemptId attempt,
        QueueName queue,
        TeamName team,
        Optional<KeyId> key,
        EndpointId endpoint,
        SlotKind kind,
        Optional<IdempotencyClaim> claim) {}
