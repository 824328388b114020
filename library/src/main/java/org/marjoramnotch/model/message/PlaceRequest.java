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
 * Asks for a slot or feed connection; resent with the same attempt until answered.
 *
 * @param attempt names the attempt
 * @param credential the key that came with the request, if any
 * @param queue the queue
 * @param kind quick request or feed
 * @param urgent whether it goes before other requests of its team
 * @param waitMilliseconds how long the entry waits for the grant from the sending on
 * @param zone the entry's availability zone
 * @param claim the idempotency key, if one came
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
