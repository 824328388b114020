package org.marjoramnotch.logic.job;

import org.marjoramnotch.model.identifier.RequestId;
import org.marjoramnotch.model.identifier.TeamName;

/**
 * Identifies a request to accept a job. Request identifiers are unique only within a team.
 *
 * @param team the team
 * @param request the identifier of the request
 */
record JobRequestKey(TeamName team, RequestId request) {}
