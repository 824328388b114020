package org.marjoramnotch.logic.cell;

import java.util.List;
import org.marjoramnotch.logic.job.Packing;

/**
 * The state of a cell at one time.
 *
 * @param teams one entry for each team of the rules
 * @param packing how full the workers are
 */
public record CellFigures(List<TeamFigures> teams, Packing packing) {}
