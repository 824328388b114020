package org.marjoramnotch.logic.cell;

import org.marjoramnotch.logic.workflow.WorkflowSettings;
import org.marjoramnotch.model.time.Clock;

/**
 * What a cell needs to serve workflows.
 *
 * @param settings the intervals
 * @param wallClock tells the milliseconds since 1970
 */
public record WorkflowDutySettings(WorkflowSettings settings, Clock wallClock) {}
