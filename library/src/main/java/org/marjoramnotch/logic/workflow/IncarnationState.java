package org.marjoramnotch.logic.workflow;

/**
 * What a leader knows about the end of a worker incarnation, and the only place that decides
 * whether its runs are certainly over:
 *
 * <ul>
 *   <li>An answer of another incarnation shows that this one has ended.
 *   <li>A release announces the end and shows nothing, since its reply may be lost. Together with a
 *       refused connection it does.
 *   <li>Silence shows nothing until each lease that this or an earlier leader granted is over.
 *   <li>A higher fencing token shows nothing, since its holder may renew the lease.
 * </ul>
 */
final class IncarnationState {
    private final WorkerLease lease;
    private boolean fenced;
    private boolean replaced;
    private boolean mayHaveNamesake;
    private boolean successorExpected;
    private boolean released;
    private boolean connectionRefused;

    IncarnationState(WorkerLease lease) {
        this.lease = lease;
    }

    /** Handles an answer which shows that the worker has seen a higher fencing token. */
    void onFenced() {
        fenced = true;
    }

    /** Handles an answer of a worker with another name, which refuses all calls to this one. */
    void onOtherNameAnswered() {
        replaced = true;
    }

    /** Handles a list of a later incarnation, which may also have received orders to this one. */
    void onNamesakeAnswered() {
        replaced = true;
        mayHaveNamesake = true;
    }

    /** Handles a report of a later incarnation that is not enrolled yet. */
    void onSuccessorReported() {
        successorExpected = true;
    }

    void onReleased() {
        released = true;
    }

    /** Handles a call that was not delivered because the worker's port is closed. */
    void onConnectionRefused() {
        // A released worker does not open its port again.
        connectionRefused |= released;
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
    boolean mayHaveNamesake() {
        return !replaced || mayHaveNamesake;
    }

    /** Returns whether the worker was released and has exited. */
    boolean hasExited() {
        return released && connectionRefused;
    }

    /**
     * Returns whether the runs of the worker are over without a list that shows their ends.
     *
     * @param leaseRenewed whether the lease may be renewed, since the worker answers
     */
    boolean areRunsOver(long nowMilliseconds, boolean leaseRenewed) {
        return hasExited() || (!leaseRenewed && lease.isOver(nowMilliseconds));
    }

    /** Returns whether nothing can run on the worker that no list has shown. */
    boolean isLeaseOver(long nowMilliseconds) {
        return hasExited() || lease.isOver(nowMilliseconds);
    }
}
