package org.marjoramnotch.logic.job;

/** What becomes of a task when a run of it has ended. */
enum EndDecision {
    /** The task has ended well. */
    SUCCEED,
    /** The task waits for another run. */
    QUEUE_AGAIN,
    /** The task has ended badly. */
    FAIL,
    /** The task has ended with its stopped job. */
    CANCEL
}
