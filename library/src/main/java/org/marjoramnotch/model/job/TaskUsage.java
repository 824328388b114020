package org.marjoramnotch.model.job;

import org.marjoramnotch.model.identifier.TaskAttemptId;
import org.marjoramnotch.model.resource.Resources;

/**
 * What a run of a task used lately, reported with a lag.
 *
 * @param attempt the run
 * @param used its use
 */
public record TaskUsage(TaskAttemptId attempt, Resources used) {}
