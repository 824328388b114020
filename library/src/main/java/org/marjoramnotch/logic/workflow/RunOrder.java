package org.marjoramnotch.logic.workflow;

import java.util.Optional;
import java.util.OptionalLong;
import org.marjoramnotch.model.workflow.RunPlacement;

/** State of the start and stop orders for one run. */
final class RunOrder {
    private static final long NEVER = -1;

    /** Time without an answer after which a start is given up; several attempts. */
    private static final long GIVE_UP_MILLISECONDS = 1_500;

    private final RunPlacement placement;
    private final Optional<String> ticket;
    private long firstSentAt = NEVER;
    private long firstCall = NEVER;
    private long leaseUntil;
    private boolean startInFlight;
    private boolean startLeftUnanswered;
    private boolean absentFromList;
    private boolean stopRequested;
    private boolean stopInFlight;
    private long settledAfterCall = NEVER;
    private long retryAt;
    private int rejections;

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

    /** Returns what is known about the orders. */
    OrderEvidence evidence() {
        return new OrderEvidence(
                unlessNever(firstSentAt),
                unlessNever(firstCall),
                unlessNever(settledAfterCall),
                startLeftUnanswered,
                stopRequested);
    }

    private static OptionalLong unlessNever(long value) {
        return value == NEVER ? OptionalLong.empty() : OptionalLong.of(value);
    }

    /** Returns whether an order is in flight and may still take effect. */
    boolean isInFlight() {
        return startInFlight || stopInFlight;
    }

    /** Returns whether the start must be sent now. */
    boolean isStartDue(long nowMilliseconds) {
        return !startInFlight && !stopRequested && !isSettled() && nowMilliseconds >= retryAt;
    }

    /** Returns whether the stop must be sent now. */
    boolean isStopDue(long nowMilliseconds) {
        return stopRequested && !stopInFlight && !isSettled() && nowMilliseconds >= retryAt;
    }

    /** Returns whether the list that a call requested shows the run if the worker has it. */
    boolean isVisibleInListOf(long listCall) {
        return isSettled() && !isInFlight() && listCall > settledAfterCall;
    }

    /** Returns whether the last order for the run was answered, so that none is sent again. */
    private boolean isSettled() {
        return settledAfterCall != NEVER;
    }

    /**
     * Returns whether no copy of the start can be executed any more, since it is not sent again and
     * the longest lease that a copy carries is over.
     *
     * @param workerClock a reading of the worker's clock
     */
    boolean isStartExpired(long workerClock) {
        return stopRequested && !startInFlight && workerClock > leaseUntil;
    }

    /**
     * Returns whether the start has been left unanswered for so long that it is given up. Only a
     * worker that answers lists gives the evidence; with an overloaded leader or network, answers
     * are late although the worker has begun the run.
     */
    boolean isStartGivenUp(long nowMilliseconds) {
        return startLeftUnanswered
                && absentFromList
                && ageMilliseconds(nowMilliseconds) >= GIVE_UP_MILLISECONDS;
    }

    /** Returns the time since the start was first sent. */
    long ageMilliseconds(long nowMilliseconds) {
        return nowMilliseconds - firstSentAt;
    }

    /**
     * Returns whether a start order was left unanswered, so that the worker may have executed it.
     */
    boolean wasUnanswered() {
        return startLeftUnanswered;
    }

    /**
     * Handles the sending of the start.
     *
     * @param call the number of the call
     * @param newLeaseUntil the end of its lease on the worker's clock
     */
    void onStartSent(long nowMilliseconds, long call, long newLeaseUntil) {
        startInFlight = true;
        // A copy sent before a newer reading of the clock may carry the longer lease.
        leaseUntil = Math.max(leaseUntil, newLeaseUntil);
        if (firstSentAt == NEVER) {
            firstSentAt = nowMilliseconds;
            firstCall = call;
        }
    }

    /**
     * Handles an answer to the start.
     *
     * @param lastCall the number of the last call that was made before the answer came
     */
    void onStartAnswered(long lastCall) {
        startInFlight = false;
        // A requested stop is settled only by its own answer.
        if (!stopRequested) {
            settledAfterCall = lastCall;
        }
    }

    /** Handles the list of a call that does not show the run. */
    void onAbsent(long listCall) {
        absentFromList = firstCall != NEVER && listCall > firstCall;
    }

    /**
     * Handles a list that shows the run: its start needs no answer any more.
     *
     * @param lastCall the number of the last call that was made before the list came
     */
    void onListed(long lastCall) {
        absentFromList = false;
        if (startLeftUnanswered && !startInFlight && !isSettled()) {
            onStartAnswered(lastCall);
        }
    }

    void onStartUnanswered(long retryAtMilliseconds) {
        startInFlight = false;
        startLeftUnanswered = true;
        retryAt = retryAtMilliseconds;
    }

    /** Counts a temporary rejection and returns the number of rejections so far. */
    int onStartDeferred(long retryAtMilliseconds) {
        startInFlight = false;
        retryAt = retryAtMilliseconds;
        rejections++;
        return rejections;
    }

    void requestStop() {
        if (!stopRequested) {
            stopRequested = true;
            settledAfterCall = NEVER;
            retryAt = 0;
        }
    }

    boolean isStopRequested() {
        return stopRequested;
    }

    void onStopSent() {
        stopInFlight = true;
    }

    /**
     * Handles an answer to the stop.
     *
     * @param lastCall the number of the last call that was made before the answer came
     */
    void onStopAnswered(long lastCall) {
        stopInFlight = false;
        settledAfterCall = lastCall;
    }

    void onStopUnanswered(long retryAtMilliseconds) {
        stopInFlight = false;
        retryAt = retryAtMilliseconds;
    }
}
