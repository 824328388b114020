package org.marjoramnotch.daemon.log;

import java.util.Set;
import java.util.logging.Level;

/** Decides which log lines are dropped first while the reader of the logs does not read. */
enum LinePriority {
    /**
     * Lines of single decisions and calls. There are many of them, and the metrics count most of
     * what they say.
     */
    ORDINARY,
    /**
     * Lines of starts, stops, failures, and lost and regained dependencies. They are few, and
     * nothing else tells when these events took place.
     */
    LIFECYCLE;

    private static final Set<String> LIFECYCLE_EVENTS =
            Set.of(
                    "daemon_started",
                    "daemon_stopping",
                    "daemon_drained",
                    "listeners_closed",
                    "start_abandoned",
                    "start_failed",
                    "warm_up_failed",
                    "duty_failed",
                    "thread_failed",
                    "memory_short",
                    "memory_regained",
                    "replica_recovered",
                    "storage_set_aside",
                    "disk_refuses_writes",
                    "disk_takes_writes",
                    "suspension_detected",
                    "link_up",
                    "link_replaced",
                    "group_founding",
                    "group_awaited",
                    "group_members_changed",
                    "leader_awaited",
                    "leader_duties_started",
                    "leader_duties_ended",
                    "leader_lease_lapsed",
                    "leader_lease_regained",
                    "configuration_in_force",
                    "settings_signal",
                    "settings_reloaded",
                    "settings_refused");

    /** Returns the priority of a line about an event. */
    static LinePriority of(Level level, String event) {
        return level.intValue() >= Level.SEVERE.intValue() || LIFECYCLE_EVENTS.contains(event)
                ? LIFECYCLE
                : ORDINARY;
    }
}
