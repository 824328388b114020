package org.marjoramnotch.model.order;

import org.marjoramnotch.model.workflow.RunId;

/**
 * A run that a worker has.
 *
 * @param run the run
 * @param checkpoint its newest checkpoint; empty for none
 * @param progressPercent how much of its work is done; 100 for a standing task that is at work
 * @param gauge the tail latency in milliseconds of a serving task, else the processor thousandths
 *     in use; negative if not told
 */
public record RunStatus(RunId run, String checkpoint, int progressPercent, long gauge) {}
