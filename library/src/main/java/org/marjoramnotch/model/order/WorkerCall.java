package org.marjoramnotch.model.order;

import org.marjoramnotch.model.fleet.FleetWorker;

/** A call to a worker, which may be carried out late or not at all. */
public sealed interface WorkerCall permits ListRuns, StartRun, StopRun, PaceRun {
    /** Returns the number that the outcome names; unique in one term of leadership. */
    long id();

    /** Returns the worker, in the life that is meant. */
    FleetWorker worker();

    /** Returns the fencing token of the sender; a worker ignores lower ones than it has seen. */
    long fencingToken();
}
