package org.marjoramnotch.model.message;

import java.util.List;
import org.marjoramnotch.model.identifier.AttemptId;

/**
 * The lease of the endpoint is renewed.
 *
 * @param leaseMilliseconds the endpoint gets no new work this long after its last renewal
 * @param abandon attempts that the endpoint must not start any more and acknowledge
 */
public record EndpointRenewed(long leaseMilliseconds, List<AttemptId> abandon)
        implements CellReply {}
