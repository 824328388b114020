package org.marjoramnotch.logic.workflow;

import java.util.Optional;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.StepDefinition;

/**
 * A run that reserves capacity of a worker.
 *
 * @param run the run
 * @param step the step of its task
 * @param team the team whose limit it counts against; empty if its workflow has no team
 */
record ActiveRun(RunId run, StepDefinition step, Optional<TeamName> team) {}
