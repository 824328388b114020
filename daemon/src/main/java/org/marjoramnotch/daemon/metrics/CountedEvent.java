package org.marjoramnotch.daemon.metrics;

import java.util.Locale;

/** Events whose number is exported as a metric. */
public enum CountedEvent {
    /** An answer arrived for which no request is waiting. */
    ANSWER_DISCARDED,
    /** An unresponsive or broken link was replaced by a new connection. */
    LINK_REPLACED,
    /** A message for a replica was dropped because its link was full or down. */
    MESSAGE_DROPPED,
    /** A reply of the leader was dropped because its link was full or closed. */
    REPLY_DROPPED,
    /**
     * A connection to an endpoint was closed because it was unresponsive or did not deliver a
     * complete answer.
     */
    ENDPOINT_CONNECTION_CLOSED,
    /**
     * The end of an attempt was not reported, because too many reports were waiting. The attempt
     * ends when its lease expires.
     */
    END_REPORT_DROPPED;

    /** Returns the label value of the event. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
