package org.marjoramnotch.logic.workflow;

import java.util.Optional;
import org.marjoramnotch.model.workflow.RunPlacement;

/** What is known of the orders about one run. */
final class RunOrder {
    private static final long UNSETTLED = -1;

    private final RunPlacement placement;
    private final Optional<String> ticket;
    private boolean outstanding;
    private boolean unanswered;
    private boolean stopRequested;
    private boolean stopOutstanding;
    private long settledAt = UNSETTLED;
    private long retryAt;
    private int refusals;

    RunOrder(RunPlacement placement, Optional<String> ticket) {
        this.placement = placement;
        this.ticket = ticket;
    }

    RunPlacement placement() {
        return placement;
    }

    Optional<String> ticket() {
        return ticket;
    }

    /** Tells whether an order is on its way and may still take effect. */
    boolean isOutstanding() {
        return outstanding || stopOutstanding;
    }

    /** Tells whether the start must be sent now. */
    boolean isStartDue(long nowMilliseconds) {
        return !outstanding
                && !stopRequested
                && settledAt == UNSETTLED
                && nowMilliseconds >= retryAt;
    }

    /** Tells whether the stop must be sent now. */
    boolean isStopDue(long nowMilliseconds) {
        return stopRequested
                && !stopOutstanding
                && settledAt == UNSETTLED
                && nowMilliseconds >= retryAt;
    }

    /** Tells whether a list that was asked for at this time shows the run if the worker has it. */
    boolean isVisibleInListSentAt(long listSentAt) {
        return settledAt != UNSETTLED && !isOutstanding() && listSentAt >= settledAt;
    }

    /** Tells whether a start that had no answer may have been carried out. */
    boolean wasUnanswered() {
        return unanswered;
    }

    void onStartSent() {
        outstanding = true;
    }

    void onStartAnswered(long nowMilliseconds) {
        outstanding = false;
        // A stop that is wanted is settled by its own answer only.
        if (!stopRequested) {
            settledAt = nowMilliseconds;
        }
    }

    void onStartUnanswered(long retryAtMilliseconds) {
        outstanding = false;
        unanswered = true;
        retryAt = retryAtMilliseconds;
    }

    /** Counts a refusal for the moment; returns how many there were. */
    int onStartDeferred(long retryAtMilliseconds) {
        outstanding = false;
        retryAt = retryAtMilliseconds;
        refusals++;
        return refusals;
    }

    void requestStop() {
        if (!stopRequested) {
            stopRequested = true;
            settledAt = UNSETTLED;
            retryAt = 0;
        }
    }

    boolean isStopRequested() {
        return stopRequested;
    }

    void onStopSent() {
        stopOutstanding = true;
    }

    void onStopAnswered(long nowMilliseconds) {
        stopOutstanding = false;
        settledAt = nowMilliseconds;
    }

    void onStopUnanswered(long retryAtMilliseconds) {
        stopOutstanding = false;
        retryAt = retryAtMilliseconds;
    }
}
