package org.marjoramnotch.model.message;

import org.marjoramnotch.model.identifier.AttemptId;
import org.marjoramnotch.model.identifier.EndpointId;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.rule.Repetition;

/**
 * A slot or feed connection is reserved for the attempt.
 *
 * @param attempt the attempt
 * @param team the team that the work counts for
 * @param endpoint the endpoint
 * @param incarnation the process of the endpoint that the slot belongs to; sent along, so that a
 *     later process refuses the attempt
 * @param host its IP number
 * @param port its TCP port
 * @param repetition whether the work may be sent again after it may have run
 * @param startWithinMilliseconds the attempt is not to be sent later than this after the receipt of
 *     the grant
 */
public record Granted(
        AttemptId attempt,
        TeamName team,
        EndpointId endpoint,
        String incarnation,
        String host,
        int port,
        Repetition repetition,
        long startWithinMilliseconds)
        implements CellReply {}
