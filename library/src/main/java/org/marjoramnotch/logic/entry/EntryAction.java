package org.marjoramnotch.logic.entry;

import org.marjoramnotch.model.endpoint.StoredAnswer;
import org.marjoramnotch.model.error.Refusal;
import org.marjoramnotch.model.message.EndAttempt;
import org.marjoramnotch.model.message.Granted;
import org.marjoramnotch.model.message.PlaceRequest;

/** An action that an entry takes for a caller's request. */
public sealed interface EntryAction {
    /**
     * Sends the request to the leader and resends it until it is answered, a {@link Report} of the
     * same attempt withdraws it, or the deadline passes. Each resend must be reported with {@link
     * RequestAttempts#onPlaceResent}.
     *
     * @param request the request to send
     */
    record Place(PlaceRequest request) implements EntryAction {}

    /**
     * Connects to the endpoint and, if {@link RequestAttempts#beginSending} permits it, sends the
     * caller's request to it.
     *
     * @param granted the grant, with the address of the endpoint
     */
    record Send(Granted granted) implements EntryAction {}

    /**
     * Sends the report to the leader and resends it until it is answered, even after the caller has
     * been answered.
     *
     * @param end the report to send
     */
    record Report(EndAttempt end) implements EntryAction {}

    /** Relays the endpoint's complete answer to the caller, with outcome ran. */
    record Relay() implements EntryAction {}

    /**
     * Answers the caller with the stored answer of its idempotency key, with outcome ran.
     *
     * @param answer the stored answer
     */
    record Replay(StoredAnswer answer) implements EntryAction {}

    /**
     * Answers the caller with a refusal.
     *
     * @param refusal the refusal
     */
    record Refuse(Refusal refusal) implements EntryAction {}

    /** Closes the connection to the endpoint without waiting for its end. */
    record Disconnect() implements EntryAction {}
}
