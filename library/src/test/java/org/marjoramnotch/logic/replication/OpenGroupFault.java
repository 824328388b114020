package org.marjoramnotch.logic.replication;

/** The faults that must occur in simulated runs of open groups for the tests to be meaningful. */
enum OpenGroupFault {
    DISKS_LOST_WHILE_FOUNDING,
    DISKS_LOST_AFTER_ACKNOWLEDGEMENT,
    DISKS_LOST_IN_A_ROW,
    DISKS_LOST_AND_ALL_WITHOUT_POWER,
    DISKS_LOST_AND_ALL_KILLED,
    ALL_WITHOUT_POWER,
    WRITE_TORN,
    KILL,
    HALVES,
    ONE_WAY_CUT,
    PAUSE,
    TRANSFER,
    EXCHANGE,
    LATE_START
}
