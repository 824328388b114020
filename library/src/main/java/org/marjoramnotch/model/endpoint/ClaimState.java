package org.marjoramnotch.model.endpoint;

/** The state of the request that claimed an idempotency key. */
public enum ClaimState {
    /** An attempt of the request is open. */
    RUNNING,
    /** The request has run. */
    RAN,
    /** The request may have run. */
    UNKNOWN
}
