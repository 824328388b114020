package org.marjoramnotch.model.command;

import java.util.List;
import org.marjoramnotch.model.identifier.JobId;

/**
 * Removes workflows that ended long ago.
 *
 * @param workflows the workflows
 */
public record ForgetWorkflows(List<JobId> workflows) implements WorkflowCommand {}
