package org.marjoramnotch.logic.cell;

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
    WORKER_LEAVES
}
