package org.marjoramnotch.logic.entry;

import java.util.Optional;
import org.marjoramnotch.model.endpoint.IdempotencyClaim;
import org.marjoramnotch.model.endpoint.SlotKind;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.message.Credential;

/**
 * A caller's request to an entry.
 *
 * @param credential the key that was sent with the request, if any
 * @param queue the queue
 * @param kind whether it is a quick request or a feed
 * @param urgent whether it is served before other requests of its team
 * @param zone the entry's availability zone
 * @param claim the idempotency key, if one was sent
 * @param deadlineMilliseconds latest time on the entry's clock at which the caller is answered
 */
public record EntryRequest(
        Optional<Credential> credential,
        QueueName queue,
        SlotKind kind,
        boolean urgent,
        AvailabilityZone zone,
        Optional<IdempotencyClaim> claim,
        long deadlineMilliseconds) {}
