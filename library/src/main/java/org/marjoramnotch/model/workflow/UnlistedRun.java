package org.marjoramnotch.model.workflow;

/**
 * A run that was recorded as over although no list had shown its end. If it turns out to have
 * failed, it counts as an attempt, unless its worker's lease was over before its end was listed.
 *
 * @param number the number of the run
 * @param lapsedEpochMilliseconds when the worker incarnation whose lease was over had started, in
 *     Unix time; 0 if the run was recorded as over for another reason
 */
public record UnlistedRun(long number, long lapsedEpochMilliseconds) {}
