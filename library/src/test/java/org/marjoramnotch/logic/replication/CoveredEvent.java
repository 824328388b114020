package org.marjoramnotch.logic.replication;

/** The events that must occur in simulated runs for the tests to be meaningful. */
public enum CoveredEvent {
    ELECTION,
    TERM,
    SNAPSHOT_INSTALLED,
    COMPACTION,
    MEMBERSHIP_CHANGE,
    TRUNCATION,
    TRANSFER,
    ONE_WAY_CUT,
    TWO_WAY_CUT,
    ISOLATION,
    DEATH_DURING_SYNC,
    DISK_REFUSED,
    DISK_REFUSED_LEADER,
    DEATH_BEFORE_SEND,
    DEATH_BEFORE_APPLY,
    PAUSE_PAST_LEASE,
    DISK_LOSS,
    LOSS_RIGHT_AFTER_REPAIR,
    MESSAGE_CUT,
    MESSAGE_DROPPED,
    MESSAGE_DELAYED,
    MESSAGE_DUPLICATED
}
