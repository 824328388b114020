package org.marjoramnotch.logic.workflow;

/** A submission of a replay and what became of it. */
final class ReplaySubmission {
    final boolean wide;
    final int team;
    final long at;
    final long objective;
    long endedAt = Long.MAX_VALUE;
    long retryAfter;
    boolean roomFree;
    boolean backlogGone;

    ReplaySubmission(boolean wide, int team, long at, long objective) {
        this.wide = wide;
        this.team = team;
        this.at = at;
        this.objective = objective;
    }

    boolean refused() {
        return retryAfter > 0;
    }

    /** Returns 0 for work in time, 1 for late and 2 for worthless work. */
    int lateness() {
        long took = endedAt - at;
        return took <= objective ? 0 : took <= 3 * objective ? 1 : 2;
    }
}
