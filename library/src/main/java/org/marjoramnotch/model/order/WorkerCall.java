package org.marjoramnotch.model.order;

import org.marjoramnotch.model.fleet.FleetWorker;

/** A call to a worker, which may be carried out late or not at all. */
public sealed interface WorkerCall permits ListRuns, StartRun, StopRun, PaceRun {
    /**
     * Returns the number by which the outcome refers to the call; unique within the term of a
     * leader.
     */
    long id();

    /** Returns the worker, with the incarnation that the call is meant for. */
    FleetWorker worker();

    /**
     * Returns the fencing token of the sender. A worker refuses calls with a lower token than it
     * has seen.
     */
    long fencingToken();
}
