package org.marjoramnotch.logic.entry;

import org.marjoramnotch.model.endpoint.StoredAnswer;
import org.marjoramnotch.model.error.Refusal;
import org.marjoramnotch.model.message.EndAttempt;
import org.marjoramnotch.model.message.Granted;
import org.marjoramnotch.model.message.PlaceRequest;

/** What an entry does next for a caller's request. */
public sealed interface EntryAction {
    /**
     * Sends the request to the leader, and again until it is answered, withdrawn by a {@link
     * Report} of the same attempt, or the deadline has passed. Each further sending is told by
     * {@link RequestAttempts#onPlaceResent}.
     *
     * @param request what to send
     */
    record Place(PlaceRequest request) implements EntryAction {}

    /**
     * Connects to the endpoint and, if {@link RequestAttempts#beginSending} agrees, sends the
     * caller's request to it.
     *
     * @param granted where to
     */
    record Send(Granted granted) implements EntryAction {}

    /**
     * Sends the report to the leader, and again until it is answered, also after the caller has
     * been answered.
     *
     * @param end what to send
     */
    record Report(EndAttempt end) implements EntryAction {}

    /** Hands the endpoint's whole answer to the caller, with outcome ran. */
    record Relay() implements EntryAction {}

    /**
     * Answers the caller with the first answer of its idempotency key, with outcome ran.
     *
     * @param answer the answer
     */
    record Replay(StoredAnswer answer) implements EntryAction {}

    /**
     * Answers the caller with a refusal.
     *
     * @param refusal what to tell
     */
    record Refuse(Refusal refusal) implements EntryAction {}

    /** Closes the connection to the endpoint; its end is not awaited any more. */
    record Disconnect() implements EntryAction {}
}
