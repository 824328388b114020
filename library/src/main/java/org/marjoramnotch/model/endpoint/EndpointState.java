package org.marjoramnotch.model.endpoint;

/** What an endpoint says of itself. */
public enum EndpointState {
    /** Takes new work. */
    ACTIVE,
    /** Ends the work it has and takes none. */
    LEAVING
}
