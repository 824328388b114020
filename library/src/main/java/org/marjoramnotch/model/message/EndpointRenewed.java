package org.marjoramnotch.model.message;

import java.util.List;
import org.marjoramnotch.model.identifier.AttemptId;

/**
 * Confirms that the lease of an endpoint is renewed.
 *
 * @param leaseMilliseconds time after its last renewal for which the endpoint receives new work
 * @param abandon attempts that the endpoint must no longer start and must acknowledge as abandoned
 */
public record EndpointRenewed(long leaseMilliseconds, List<AttemptId> abandon)
        implements CellReply {}
