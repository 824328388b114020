package org.marjoramnotch.logic.job;

import com.fasterxml.jackson.annotation.JsonProperty;

/** The order in which waiting jobs are looked at. */
public enum QueueOrder {
    /** The team furthest below its share goes first; within a team, urgent work goes first. */
    @JsonProperty("fair-share")
    FAIR_SHARE,
    /** Urgent work of any team goes first; the rest as {@link #FAIR_SHARE}. */
    @JsonProperty("urgent-first")
    URGENT_FIRST,
    /** Strictly by acceptance on the first worker that fits; the baseline to compare with. */
    @JsonProperty("first-come")
    FIRST_COME
}
