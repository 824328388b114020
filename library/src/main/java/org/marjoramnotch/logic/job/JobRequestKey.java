package org.marjoramnotch.logic.job;

import org.marjoramnotch.model.identifier.RequestId;
import org.marjoramnotch.model.identifier.TeamName;

/**
 * Names a request to accept a job; teams do not share request identifiers.
 *
 * @param team the team
 * @param request the request
 */
record JobRequestKey(TeamName team, RequestId request) {}
