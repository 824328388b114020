package org.marjoramnotch.logic.job;

import com.fasterxml.jackson.annotation.JsonProperty;

/** The order in which queued jobs are considered for placement. */
public enum QueueOrder {
    /** The team furthest below its share goes first; within a team, urgent work goes first. */
    @JsonProperty("fair-share")
    FAIR_SHARE,
    /** Urgent work of any team goes first; other work as in {@link #FAIR_SHARE}. */
    @JsonProperty("urgent-first")
    URGENT_FIRST,
    /**
     * Jobs are placed strictly in order of acceptance, on the first worker that fits. Serves as the
     * baseline for comparisons.
     */
    @JsonProperty("first-come")
    FIRST_COME
}
