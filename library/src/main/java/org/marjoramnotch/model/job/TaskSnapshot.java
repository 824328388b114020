package org.marjoramnotch.model.job;

import java.util.Optional;
import org.marjoramnotch.model.identifier.WorkerId;

/**
 * A task in a snapshot.
 *
 * @param number counts the tasks of the job from 0
 * @param phase where it stands
 * @param lastRun number of its last run, 0 before the first
 * @param failures runs that failed
 * @param interruptions runs that ended by no fault of the task
 * @param worker where it runs, if it does
 */
public record TaskSnapshot(
        int number,
        TaskPhase phase,
        int lastRun,
        int failures,
        int interruptions,
        Optional<WorkerId> worker) {}
