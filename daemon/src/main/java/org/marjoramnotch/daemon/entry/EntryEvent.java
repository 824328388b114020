package org.marjoramnotch.daemon.entry;

/** An event of a request of this entry, applied on the entry's duty. */
@FunctionalInterface
interface EntryEvent {
    /** Applies the event. */
    void apply(long nowMilliseconds);
}
