package org.marjoramnotch.logic.cell;

import org.marjoramnotch.model.identifier.TeamName;

/**
 * The state of a team at one time.
 *
 * @param team the team
 * @param running its open attempts and running tasks
 * @param upperLimit how many there may be
 * @param shareDeviation part of all that ran in this cell, from 0 to 1, by which the team got more
 *     or less than its share; the largest of the latest windows
 */
public record TeamMetrics(TeamName team, int running, int upperLimit, double shareDeviation) {}
