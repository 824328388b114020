package org.marjoramnotch.model.fleet;

/**
 * A lease that a call to an earlier incarnation of a worker may have granted to this one.
 *
 * @param worker the incarnation that may hold it
 * @param until its latest end on the worker's clock, in milliseconds
 * @param longestMilliseconds how long it may have gone on, on the worker's clock, when this was
 *     recorded
 */
public record InheritedLease(WorkerIncarnation worker, long until, long longestMilliseconds) {}
