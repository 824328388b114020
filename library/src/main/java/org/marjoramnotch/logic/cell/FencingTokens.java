package org.marjoramnotch.logic.cell;

/** Numbers the starts of the leader's duties across all replicas. */
final class FencingTokens {
    /** Ample, as duties restart within a term only after a refused proposal or a long pause. */
    private static final long TOKENS_PER_TERM = 1_024;

    private long dutyStarts;

    /** Returns a token higher than that of all earlier duties, including those of the same term. */
    long next(long term) {
        dutyStarts++;
        return term * TOKENS_PER_TERM + dutyStarts % TOKENS_PER_TERM;
    }
}
