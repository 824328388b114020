package org.marjoramnotch.model.command;

import java.util.List;

/**
 * Reserves workers for runs of tasks, all or none.
 *
 * @param placements the runs
 */
public record StartTasks(List<TaskPlacement> placements) implements Command {}
