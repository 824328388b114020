package org.marjoramnotch.model.command;

import java.util.List;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.workflow.RunEnd;

/**
 * Ends runs of a worker and frees their resources.
 *
 * @param worker the incarnation of the worker
 * @param ends the ends of the runs; a run that is not the last one of its task is ignored
 */
public record EndRuns(WorkerIncarnation worker, List<RunEnd> ends) implements WorkflowCommand {}
