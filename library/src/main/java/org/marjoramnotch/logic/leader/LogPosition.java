package org.marjoramnotch.logic.leader;

/**
 * A position in the replicated log, as the leader knows it when it decides.
 *
 * @param term the term in which it leads
 * @param index the index of the last committed entry; all entries up to it are applied
 */
public record LogPosition(long term, long index) {
    /** The position where there is no log. */
    public static final LogPosition NONE = new LogPosition(0, 0);
}
