package org.marjoramnotch.model.job;

import org.marjoramnotch.model.identifier.TaskAttemptId;
import org.marjoramnotch.model.resource.Resources;

/**
 * Recent resource usage of a run of a task, reported with a delay.
 *
 * @param attempt the run
 * @param used the resources in use
 */
public record TaskUsage(TaskAttemptId attempt, Resources used) {}
