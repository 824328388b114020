package org.marjoramnotch.logic.cell;

import org.marjoramnotch.logic.workflow.WorkflowDuty;

/** Numbers the starts of the leader's duties across all replicas. */
final class FencingTokens {
    private static final long TOKENS_PER_TERM = 1_024;

    /** Ample, as duties restart within a term only after a refused proposal or a long pause. */
    private static final long STARTS_PER_TERM = TOKENS_PER_TERM / WorkflowDuty.FENCING_TOKENS;

    private long term;
    private long startsInTerm;

    /**
     * Returns the first token of new duties. It is higher than those of all earlier duties; duties
     * beyond the last start of a term share its token.
     */
    long next(long newTerm) {
        startsInTerm = newTerm == term ? Math.min(startsInTerm + 1, STARTS_PER_TERM - 1) : 0;
        term = newTerm;
        return newTerm * TOKENS_PER_TERM + startsInTerm * WorkflowDuty.FENCING_TOKENS;
    }
}
