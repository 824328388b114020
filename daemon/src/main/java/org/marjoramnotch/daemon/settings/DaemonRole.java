package org.marjoramnotch.daemon.settings;

import com.fasterxml.jackson.annotation.JsonProperty;

/** A role of a daemon in its cell. */
public enum DaemonRole {
    /** Accepts callers' requests and sends them to endpoints. */
    @JsonProperty("entry")
    ENTRY,
    /** Stores the replicated log and may lead the cell; needs a disk. */
    @JsonProperty("replica")
    REPLICA
}
