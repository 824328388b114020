package org.marjoramnotch.model.command;

import java.util.List;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.workflow.RunEnd;

/**
 * Ends runs of a worker and frees what they hold.
 *
 * @param worker the life of the worker
 * @param ends the ends; what is not the last run of its task is passed over
 */
public record EndRuns(WorkerIncarnation worker, List<RunEnd> ends) implements WorkflowCommand {}
