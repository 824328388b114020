package org.marjoramnotch.logic.workflow;

import java.util.Optional;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.StepDefinition;

/**
 * A run that holds capacity of a worker.
 *
 * @param run the run
 * @param step its step
 * @param team the team that it counts for
 */
record ActiveRun(RunId run, StepDefinition step, Optional<TeamName> team) {}
