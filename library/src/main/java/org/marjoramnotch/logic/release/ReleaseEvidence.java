package org.marjoramnotch.logic.release;

/** What shows whether a release is about the enrolled life of a worker. */
public enum ReleaseEvidence {
    /** The release names the start of this life. */
    START_TIME(true),
    /** This life has reported that it drains, and long enough ago. */
    DRAINED(true),
    /** The release names the start of another life. */
    OTHER_START_TIME(false),
    /** This life has not reported that it drains. */
    NOT_DRAINING(false),
    /** This life has reported that it drains, and continues for longer than the time since. */
    DRAINING_BRIEFLY(false);

    private final boolean ofEnrolledLife;

    ReleaseEvidence(boolean ofEnrolledLife) {
        this.ofEnrolledLife = ofEnrolledLife;
    }

    /** Returns whether the release is about the enrolled life. */
    public boolean isOfEnrolledLife() {
        return ofEnrolledLife;
    }
}
