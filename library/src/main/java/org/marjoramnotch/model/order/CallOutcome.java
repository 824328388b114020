package org.marjoramnotch.model.order;

import java.util.List;
import java.util.OptionalLong;

/** What came of a call to a worker. */
public sealed interface CallOutcome {
    /** Returns the number of the call. */
    long id();

    /**
     * The worker's list.
     *
     * @param id the number of the call
     * @param workerClockMilliseconds the worker's own clock
     * @param startedEpochMilliseconds the life that answered; empty if not told
     * @param running what runs
     * @param ended ends that are not acknowledged, in order
     */
    record Listed(
            long id,
            long workerClockMilliseconds,
            OptionalLong startedEpochMilliseconds,
            List<RunStatus> running,
            List<RunEndReport> ended)
            implements CallOutcome {}

    /**
     * The worker did as it was told, or had already.
     *
     * @param id the number of the call
     * @param workerClockMilliseconds the worker's own clock; empty if not told
     */
    record Accepted(long id, OptionalLong workerClockMilliseconds) implements CallOutcome {}

    /**
     * The worker refused.
     *
     * @param id the number of the call
     * @param workerClockMilliseconds the worker's own clock; empty if not told
     * @param reason why
     */
    record Rejected(long id, OptionalLong workerClockMilliseconds, RejectionReason reason)
            implements CallOutcome {}

    /**
     * No answer came; the call may be carried out later.
     *
     * @param id the number of the call
     */
    record Unanswered(long id) implements CallOutcome {}
}
