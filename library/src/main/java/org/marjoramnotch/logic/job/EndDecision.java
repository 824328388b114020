package org.marjoramnotch.logic.job;

/** What happens to a task after one of its runs has ended. */
enum EndDecision {
    /** The task has succeeded. */
    SUCCEED,
    /** The task is queued for another run. */
    QUEUE_AGAIN,
    /** The task has failed. */
    FAIL,
    /** The task is cancelled together with its stopping job. */
    CANCEL
}
