package org.marjoramnotch.logic.admission;

/** Estimates the wait of a submission under one load pattern. */
interface WaitEstimator {
    /**
     * An estimated wait, in milliseconds.
     *
     * @param milliseconds the wait that the accepted work makes; 0 if there is none or if it can't
     *     be told
     * @param lastingMilliseconds the wait if work continues to arrive as it did lately
     */
    record Wait(long milliseconds, long lastingMilliseconds) {
        static final Wait NONE = new Wait(0, 0);
    }

    /** Returns the name of what it waits for, for the log. */
    String cause();

    /**
     * Returns the wait.
     *
     * @param admitted submissions that were admitted after the snapshot was taken
     */
    Wait estimate(
            long nowMilliseconds, Submission submission, LoadSnapshot load, AdmittedWork admitted);
}
