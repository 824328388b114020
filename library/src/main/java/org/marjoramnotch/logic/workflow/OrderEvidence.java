package org.marjoramnotch.logic.workflow;

import java.util.OptionalLong;

/**
 * What a leader knows about its orders for one run, for logs.
 *
 * @param sentAt when the start was first sent; empty if it was not
 * @param settledAt when the last order was answered; empty if it was not
 * @param unanswered whether a copy of the start was left unanswered
 * @param stopRequested whether the run was to be stopped
 */
record OrderEvidence(
        OptionalLong sentAt, OptionalLong settledAt, boolean unanswered, boolean stopRequested) {
    /** No order was sent in this term. */
    static final OrderEvidence NONE =
            new OrderEvidence(OptionalLong.empty(), OptionalLong.empty(), false, false);
}
