package org.marjoramnotch.logic.workflow;

import java.util.OptionalLong;

/**
 * What a leader knows about its orders for one run, for logs.
 *
 * @param sentAt when the start was first sent; empty if it was not
 * @param call the number of the call that first sent the start; empty if none did
 * @param settledAfterCall the number of the last call that was made before the last order was
 *     answered; empty if it was not
 * @param unanswered whether a copy of the start was left unanswered
 * @param stopRequested whether the run was to be stopped
 */
record OrderEvidence(
        OptionalLong sentAt,
        OptionalLong call,
        OptionalLong settledAfterCall,
        boolean unanswered,
        boolean stopRequested) {
    /** No order was sent in this term. */
    static final OrderEvidence NONE =
            new OrderEvidence(
                    OptionalLong.empty(), OptionalLong.empty(), OptionalLong.empty(), false, false);
}
