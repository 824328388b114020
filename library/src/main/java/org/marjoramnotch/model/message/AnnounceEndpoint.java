package org.marjoramnotch.model.message;

import java.util.List;
import org.marjoramnotch.model.endpoint.EndpointDescription;
import org.marjoramnotch.model.endpoint.EndpointState;
import org.marjoramnotch.model.identifier.AttemptId;

/**
 * Announces, renews or withdraws an endpoint.
 *
 * @param description the description of the endpoint
 * @param state whether it accepts new work
 * @param running attempts that it is running
 * @param abandoned attempts that it was asked to abandon and will never start
 */
public record AnnounceEndpoint(
        EndpointDescription description,
        EndpointState state,
        List<AttemptId> running,
        List<AttemptId> abandoned)
        implements CellRequest {}
