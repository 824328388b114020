package org.marjoramnotch.logic.workflow;

import org.marjoramnotch.model.order.RejectionReason;

/**
 * What a leader knows about the end of a worker incarnation, and the only place that decides
 * whether its runs are certainly over:
 *
 * <ul>
 *   <li>An answer of another incarnation shows that this one has ended.
 *   <li>A release announces the end and shows nothing, since a worker sends it before it ends.
 *   <li>A refused or reset connection shows nothing, since a cut may cause it.
 *   <li>Silence shows nothing until each lease that this or an earlier leader granted is over.
 *   <li>A higher fencing token shows nothing, since its holder may renew the lease.
 * </ul>
 */
final class IncarnationState {
    /**
     * Longer than the delay after which an idle worker's ends are acknowledged. In between, a
     * worker without runs would have to crash, restart, get a start and end it.
     */
    private static final long CONFIRMED_MILLISECONDS = 1_500;

    private static final long UNCONFIRMED = Long.MIN_VALUE / 2;

    private final WorkerLease lease;
    private long confirmedAt = UNCONFIRMED;
    private boolean fenced;
    private boolean replaced;
    private boolean namesakeAnswered;
    private boolean successorExpected;
    private boolean released;

    IncarnationState(WorkerLease lease) {
        this.lease = lease;
    }

    /** Handles a list of this incarnation. */
    void onListed(long nowMilliseconds) {
        confirmedAt = nowMilliseconds;
    }

    /** Handles a call without an answer; the worker may be restarting. */
    void onUnanswered() {
        confirmedAt = UNCONFIRMED;
    }

    /**
     * Returns whether this incarnation has sent a list recently and answered all calls since. Only
     * then are ends acknowledged: a later incarnation numbers its ends anew and would discard those
     * that no list has shown.
     */
    boolean isConfirmed(long nowMilliseconds) {
        return nowMilliseconds - confirmedAt < CONFIRMED_MILLISECONDS;
    }

    /**
     * Handles a rejection; returns whether the worker rejects all orders from now on, since it has
     * seen a higher fencing token or has another name.
     */
    boolean onRejected(RejectionReason reason) {
        fenced |= reason == RejectionReason.FENCED;
        replaced |= reason == RejectionReason.OTHER_INCARNATION;
        return !acceptsOrders();
    }

    /**
     * Handles a list of a later incarnation, which may also have received orders to this one;
     * returns whether it is the first.
     */
    boolean onNamesakeAnswered() {
        boolean first = !namesakeAnswered;
        replaced = true;
        namesakeAnswered = true;
        return first;
    }

    /** Handles a report of a later incarnation that is not enrolled yet. */
    void onSuccessorReported() {
        successorExpected = true;
    }

    void onReleased() {
        released = true;
    }

    boolean acceptsOrders() {
        return !fenced && !replaced;
    }

    boolean acceptsStarts() {
        return acceptsOrders() && !successorExpected && !released;
    }

    boolean isReleased() {
        return released;
    }

    /** Returns whether an answer of another incarnation shows that this one has ended. */
    boolean isReplaced() {
        return replaced;
    }

    /** Returns whether another incarnation may have executed an order to this one. */
    boolean mayNextHaveReceivedOrders() {
        return !replaced || namesakeAnswered;
    }

    /**
     * Returns whether the runs of the worker are over without a list that shows their ends.
     *
     * @param leaseRenewed whether the lease may be renewed, since the worker answers
     */
    boolean areRunsOver(long nowMilliseconds, boolean leaseRenewed) {
        return !leaseRenewed && lease.isOver(nowMilliseconds);
    }

    /**
     * Returns whether the worker can run nothing any more that was started by its own clock, unless
     * its lease is renewed.
     */
    boolean canRunNothing(long nowMilliseconds) {
        return lease.isOwnOver(nowMilliseconds);
    }
}
