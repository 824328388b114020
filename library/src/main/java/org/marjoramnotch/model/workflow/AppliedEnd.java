package org.marjoramnotch.model.workflow;

/**
 * The end of a run after it was applied.
 *
 * @param end the end
 * @param effect what it changed
 */
public record AppliedEnd(RunEnd end, RunEndEffect effect) {}
