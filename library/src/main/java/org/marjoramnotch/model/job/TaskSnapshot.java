package org.marjoramnotch.model.job;

import java.util.Optional;
import org.marjoramnotch.model.identifier.WorkerId;

/**
 * A task in a snapshot.
 *
 * @param number number of the task within its job, from 0
 * @param phase the phase of the task
 * @param lastRun number of the last run; 0 before the first run
 * @param failures number of runs that failed
 * @param interruptions number of runs that ended through no fault of the task
 * @param worker the worker that runs the task, if it is running
 */
public record TaskSnapshot(
        int number,
        TaskPhase phase,
        int lastRun,
        int failures,
        int interruptions,
        Optional<WorkerId> worker) {}
