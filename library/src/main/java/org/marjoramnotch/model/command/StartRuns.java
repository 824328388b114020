package org.marjoramnotch.model.command;

import java.util.List;
import org.marjoramnotch.model.workflow.RunPlacement;

/**
 * Reserves what runs need and numbers them; the orders are sent afterwards. The members of a gang
 * are placed by one command, all or none.
 *
 * @param placements the runs
 */
public record StartRuns(List<RunPlacement> placements) implements WorkflowCommand {}
