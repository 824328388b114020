package org.marjoramnotch.logic.preemption;

/** What kind of work a stopped run loses; the cause under which the stop is counted. */
public enum PreemptionLoss {
    /** The result of the run is worthless already. */
    WORTHLESS,
    /** The work since the latest checkpoint. */
    SINCE_CHECKPOINT,
    /** All work of the run, since it has no checkpoint. */
    ALL_WORK,
    /** The time until a standing task runs again. */
    ABSENCE
}
