package org.marjoramnotch.model.workflow;

/**
 * The end of a run.
 *
 * @param run the run
 * @param outcome how it ended
 * @param checkpoint what a next run may go on from; empty for nothing
 */
public record RunEnd(RunId run, RunOutcome outcome, String checkpoint) {}
