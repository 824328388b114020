package org.marjoramnotch.model.endpoint;

/** Where the request that claimed an idempotency key stands. */
public enum ClaimState {
    /** An attempt of it is open. */
    RUNNING,
    /** It ran. */
    RAN,
    /** It may have run. */
    UNKNOWN
}
