package org.marjoramnotch.logic.cell;

import org.marjoramnotch.logic.workflow.WorkflowSettings;
import org.marjoramnotch.model.time.Clock;

/**
 * The settings with which a cell serves workflows.
 *
 * @param settings the intervals
 * @param wallClock a clock that returns milliseconds since the Unix epoch
 */
public record WorkflowDutySettings(WorkflowSettings settings, Clock wallClock) {}
