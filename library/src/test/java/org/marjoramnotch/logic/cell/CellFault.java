package org.marjoramnotch.logic.cell;

/** The faults of simulated cells whose members change. */
enum CellFault {
    KILL,
    ALL_KILLED,
    DISKS_LOST,
    DISKS_LOST_AND_ALL_KILLED,
    HALVES,
    ISOLATION,
    PAUSE,
    /** A process and the steady clock of its VM stop, while the time of day goes on. */
    SUSPENSION,
    DISK_FULL_DURING_ENTRY,
    DISK_FULL_DURING_SNAPSHOT,
    PROMOTED_VOTER_KILLED
}
