package org.marjoramnotch.daemon.settings;

import com.fasterxml.jackson.annotation.JsonProperty;

/** A part that a daemon plays in its cell. */
public enum DaemonRole {
    /** Takes callers' requests and sends them to endpoints. */
    @JsonProperty("entry")
    ENTRY,
    /** Stores the replicated log and may lead the cell; needs a disk. */
    @JsonProperty("replica")
    REPLICA
}
