package org.marjoramnotch.model.job;

/**
 * A registered worker in a snapshot.
 *
 * @param description the description that the worker announced
 * @param epoch the fencing epoch of the worker
 */
public record WorkerSnapshot(WorkerDescription description, long epoch) {}
