package org.marjoramnotch.model.message;

import org.marjoramnotch.model.identifier.AttemptId;
import org.marjoramnotch.model.identifier.EndpointId;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.rule.Repetition;

/**
 * Confirms that a slot or feed connection is reserved for an attempt.
 *
 * @param attempt the attempt
 * @param team the team to which the work is charged
 * @param endpoint the endpoint
 * @param incarnation the endpoint process that the slot belongs to; sent with the request so that a
 *     later process refuses the attempt
 * @param host IP address of the endpoint
 * @param port TCP port of the endpoint
 * @param repetition whether the work may be resent after it may have run
 * @param startWithinMilliseconds time after the receipt of the grant within which the attempt must
 *     be sent
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
