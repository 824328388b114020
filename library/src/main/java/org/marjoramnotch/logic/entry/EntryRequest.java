package org.marjoramnotch.logic.entry;

import java.util.Optional;
import org.marjoramnotch.model.endpoint.IdempotencyClaim;
import org.marjoramnotch.model.endpoint.SlotKind;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.message.Credential;

/**
 * What a caller asked of an entry.
 *
 * @param credential the key that came with the request, if any
 * @param queue the queue
 * @param kind quick request or feed
 * @param urgent whether it goes before other requests of its team
 * @param zone the entry's availability zone
 * @param claim the idempotency key, if one came
 * @param deadlineMilliseconds time on the entry's clock at which the caller is answered at last
 */
public record EntryRequest(
        Optional<Credential> credential,
        QueueName queue,
        SlotKind kind,
        boolean urgent,
        AvailabilityZone zone,
        Optional<IdempotencyClaim> claim,
        long deadlineMilliseconds) {}
