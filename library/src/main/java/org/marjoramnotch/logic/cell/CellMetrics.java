package org.marjoramnotch.logic.cell;

import java.util.List;
import java.util.Optional;
import org.marjoramnotch.logic.job.ResourceUtilization;
import org.marjoramnotch.logic.workflow.WorkflowMetrics;

/**
 * The metrics of a cell at one point in time.
 *
 * @param teams the metrics of each team in the rules
 * @param utilization the utilization of the workers
 * @param workflow the metrics of the workflows; empty if the cell serves none
 */
public record CellMetrics(
        List<TeamMetrics> teams,
        ResourceUtilization utilization,
        Optional<WorkflowMetrics> workflow) {}
