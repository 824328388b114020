package org.marjoramnotch.model.message;

import java.util.List;
import java.util.Optional;
import org.marjoramnotch.model.endpoint.IdempotencyClaim;
import org.marjoramnotch.model.endpoint.SlotKind;
import org.marjoramnotch.model.identifier.AttemptId;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.EndpointId;
import org.marjoramnotch.model.identifier.QueueName;

/**
 * Requests a slot or feed connection. Resent with the same attempt until answered.
 *
 * @param attempt identifier of the attempt
 * @param credential the key that was sent with the request, if any
 * @param queue the queue
 * @param kind whether it is a quick request or a feed
 * @param urgent whether it is served before other requests of its team
 * @param waitMilliseconds time that the entry waits for the grant, counted from sending
 * @param zone the entry's availability zone
 * @param claim the idempotency key, if one was sent
 * @param excluded endpoints that failed earlier attempts of the request
 */
public record PlaceRequest(
        AttemptId attempt,
        Optional<Credential> credential,
        QueueName queue,
        SlotKind kind,
        boolean urgent,
        long waitMilliseconds,
        AvailabilityZone zone,
        Optional<IdempotencyClaim> claim,
        List<EndpointId> excluded)
        implements CellRequest {}
