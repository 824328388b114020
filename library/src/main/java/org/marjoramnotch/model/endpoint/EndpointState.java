package org.marjoramnotch.model.endpoint;

/** The state that an endpoint announces. */
public enum EndpointState {
    /** The endpoint accepts new work. */
    ACTIVE,
    /** The endpoint finishes its current work and accepts no new work. */
    LEAVING
}
