package org.marjoramnotch.model.job;

/**
 * A registered worker in a snapshot.
 *
 * @param description what it announced
 * @param epoch its fencing epoch
 */
public record WorkerSnapshot(WorkerDescription description, long epoch) {}
