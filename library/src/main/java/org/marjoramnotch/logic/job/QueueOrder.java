package org.marjoramnotch.logic.job;

/** The order in which waiting jobs are looked at. */
public enum QueueOrder {
    /** The team furthest below its share goes first; within a team, urgent work goes first. */
    FAIR_SHARE,
    /** Urgent work of any team goes first; the rest as {@link #FAIR_SHARE}. */
    URGENT_FIRST,
    /** Strictly by acceptance on the first worker that fits; the baseline to compare with. */
    FIRST_COME
}
