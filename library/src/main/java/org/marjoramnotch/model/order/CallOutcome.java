package org.marjoramnotch.model.order;

import java.util.List;
import java.util.OptionalLong;
import org.marjoramnotch.model.fleet.WorkerIncarnation;

/** The outcome of a call to a worker. */
public sealed interface CallOutcome {
    /** Returns the number of the call. */
    long id();

    /**
     * The worker listed its runs.
     *
     * @param id the number of the call
     * @param workerClockMilliseconds the time of the worker's own clock
     * @param startedEpochMilliseconds the start time of the incarnation that answered; empty if not
     *     reported
     * @param running the runs that the worker has
     * @param ended the ends that are not acknowledged yet, in order
     */
    record Listed(
            long id,
            long workerClockMilliseconds,
            OptionalLong startedEpochMilliseconds,
            List<RunStatus> running,
            List<RunEndReport> ended)
            implements CallOutcome {
        /**
         * Returns whether the incarnation may have answered; a start time that differs rules it
         * out.
         */
        public boolean mayBeOf(WorkerIncarnation incarnation) {
            return startedEpochMilliseconds.isEmpty()
                    || startedEpochMilliseconds.getAsLong()
                            == incarnation.startedEpochMilliseconds();
        }
    }

    /**
     * The worker carried out the call, or had already done so.
     *
     * @param id the number of the call
     * @param workerClockMilliseconds the time of the worker's own clock; empty if not reported
     */
    record Accepted(long id, OptionalLong workerClockMilliseconds) implements CallOutcome {}

    /**
     * The worker refused the call.
     *
     * @param id the number of the call
     * @param workerClockMilliseconds the time of the worker's own clock; empty if not reported
     * @param reason the reason
     */
    record Rejected(long id, OptionalLong workerClockMilliseconds, RejectionReason reason)
            implements CallOutcome {}

    /**
     * The worker did not answer; the call may still be carried out later.
     *
     * @param id the number of the call
     */
    record Unanswered(long id) implements CallOutcome {}

    /**
     * Nothing accepts connections at the worker's address, so that the call was not delivered. A
     * worker that cannot be reached, in contrast, does not answer at all.
     *
     * @param id the number of the call
     */
    record ConnectionRefused(long id) implements CallOutcome {}
}
