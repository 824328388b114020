package org.marjoramnotch.logic.cell;

import java.util.List;
import java.util.Optional;
import org.marjoramnotch.logic.job.ResourceUtilization;
import org.marjoramnotch.logic.workflow.WorkflowMetrics;

/**
 * The state of a cell at one time.
 *
 * @param teams one entry for each team of the rules
 * @param utilization how full the workers are
 * @param workflow the state of the workflows; empty where there are none
 */
public record CellMetrics(
        List<TeamMetrics> teams,
        ResourceUtilization utilization,
        Optional<WorkflowMetrics> workflow) {}
