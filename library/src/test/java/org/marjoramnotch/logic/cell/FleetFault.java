package org.marjoramnotch.logic.cell;

import java.util.List;

/** A kind of fault of a simulated fleet. */
enum FleetFault {
    FROZEN_STEP,
    FROZEN_LEADER,
    SLOW_SYNCS,
    STALLED_DISKS,
    REPLICA_CUT_OFF,
    REPLICA_CUT_ONE_WAY,
    POWER_LOSS,
    SLOW_INPUTS,
    CALLS_LOST,
    WORKER_CUT_ONE_WAY,
    UNHEALTHY_WORKER,
    STARTS_REJECTED,
    WORKER_RESTART,
    MANY_WORKERS_RESTART,
    REPORTS_LOST,
    WORKER_LEAVES,
    WORKER_CUT_OFF,
    WORKER_RESTARTS_AND_IS_CUT_OFF,
    WORKER_LEAVES_BEHIND_CUT,
    RELEASE_ARRIVES_LATE,
    RELEASE_ARRIVES_TWICE;

    /** Returns faults of which each is over before the next one of the same worker. */
    static List<FleetFault> single() {
        return List.of(values()).subList(0, WORKER_LEAVES.ordinal() + 1);
    }

    /** Returns faults that follow another on the same worker, and some that meet them. */
    static List<FleetFault> successive() {
        return List.of(
                FROZEN_LEADER,
                STALLED_DISKS,
                POWER_LOSS,
                CALLS_LOST,
                WORKER_RESTART,
                MANY_WORKERS_RESTART,
                REPORTS_LOST,
                WORKER_CUT_OFF,
                WORKER_RESTARTS_AND_IS_CUT_OFF,
                WORKER_LEAVES_BEHIND_CUT);
    }

    /** Returns faults that delay the announcements of leaving workers, and some that meet them. */
    static List<FleetFault> departures() {
        return List.of(
                RELEASE_ARRIVES_LATE,
                RELEASE_ARRIVES_TWICE,
                FROZEN_LEADER,
                POWER_LOSS,
                REPLICA_CUT_OFF,
                WORKER_RESTART,
                REPORTS_LOST);
    }
}
