package org.marjoramnotch.logic.replication;

import java.util.EnumSet;
import java.util.Set;

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
    LATE_START,
    FOUNDERS_ENDED,
    LOG_SET_ASIDE,
    PROMOTED_VOTER_KILLED,
    SNAPSHOT_DURING_CHANGE,
    DISK_FULL_DURING_ENTRY,
    DISK_FULL_DURING_SNAPSHOT,
    SUSPENSION;

    /** The faults of all runs; the others are added to some runs. */
    static final Set<OpenGroupFault> STANDARD =
            EnumSet.range(DISKS_LOST_WHILE_FOUNDING, LATE_START);

    /**
     * Faults that are added to the standard ones. While a VM may be suspended, the leader lease
     * alone doesn't exclude a second leader, and founders that end may leave no quorum of founders.
     */
    static final Set<OpenGroupFault> ADDITIONAL =
            EnumSet.range(LOG_SET_ASIDE, DISK_FULL_DURING_SNAPSHOT);
}
