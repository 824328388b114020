package org.marjoramnotch.model.workflow;

/**
 * The end of a run after it was applied.
 *
 * @param end the end
 * @param effect what it changed
 * @param failures how many runs of the task, or of its gang, had failed by then if this one did; 0
 *     otherwise
 */
public record AppliedEnd(RunEnd end, RunEndEffect effect, int failures) {
    /** Creates an applied end of a run that did not fail. */
    public AppliedEnd(RunEnd end, RunEndEffect effect) {
        this(end, effect, 0);
    }
}
