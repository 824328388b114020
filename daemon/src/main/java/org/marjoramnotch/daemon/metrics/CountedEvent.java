package org.marjoramnotch.daemon.metrics;

import java.util.Locale;

/** Events that are only counted. */
public enum CountedEvent {
    /** An answer came that belongs to no waiting request. */
    ANSWER_DISCARDED,
    /** A silent or broken link was replaced by a new connection. */
    LINK_REPLACED,
    /** A message for a replica was dropped because its link was full or down. */
    MESSAGE_DROPPED,
    /** A reply of the leader was dropped because its link was full or gone. */
    REPLY_DROPPED,
    /** A connection to an endpoint was closed because it went silent or gave no whole answer. */
    ENDPOINT_CONNECTION_CLOSED,
    /** The end of an attempt was not reported, since too many wait; its lease ends it. */
    END_REPORT_DROPPED;

    /** Returns the value of the metric's label. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
