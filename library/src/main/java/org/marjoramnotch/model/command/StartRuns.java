package org.marjoramnotch.model.command;

import java.util.List;
import org.marjoramnotch.model.workflow.RunPlacement;

/**
 * Reserves the resources of runs and numbers the runs; the orders are sent to the workers
 * afterwards. The members of a gang are placed by one command, all or none.
 *
 * @param placements the runs
 */
public record StartRuns(List<RunPlacement> placements) implements WorkflowCommand {}
