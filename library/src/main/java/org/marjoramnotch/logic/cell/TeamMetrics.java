package org.marjoramnotch.logic.cell;

import org.marjoramnotch.model.identifier.TeamName;

/**
 * The metrics of a team at one point in time.
 *
 * @param team the team
 * @param running the number of its open attempts and running tasks
 * @param upperLimit the largest number of these that is allowed
 * @param shareDeviation the fraction of all work that ran in this cell, from 0 to 1, by which the
 *     team got more or less than its share; the largest value of the latest windows
 */
public record TeamMetrics(TeamName team, int running, int upperLimit, double shareDeviation) {}
