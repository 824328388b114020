package org.marjoramnotch.model.workflow;

/**
 * The end of a run.
 *
 * @param run the run
 * @param outcome how it ended
 * @param checkpoint the checkpoint that the next run may resume from; empty if there is none
 */
public record RunEnd(RunId run, RunOutcome outcome, String checkpoint) {}
