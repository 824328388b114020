package org.marjoramnotch.logic.admission;

/** Estimates the wait of a submission under one load pattern. */
interface WaitEstimator {
    /** Returns the name of what it waits for, for the log. */
    String cause();

    /**
     * Returns the wait in milliseconds; 0 if there is none or if it can't be told.
     *
     * @param admitted submissions that were admitted after the snapshot was taken
     */
    long estimate(Submission submission, LoadSnapshot load, AdmittedWork admitted);
}
