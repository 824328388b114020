package org.marjoramnotch.model.job;

import java.util.List;

/**
 * The whole replicated state of jobs and workers.
 *
 * @param lastEpoch the highest fencing epoch that was given to any worker
 * @param lastSequence the sequence of the last accepted job
 * @param workers registered workers by name
 * @param jobs jobs that have not ended, by sequence
 * @param finished jobs that have ended, the first ended first
 */
public record JobSnapshot(
        long lastEpoch,
        long lastSequence,
        List<WorkerSnapshot> workers,
        List<JobRecord> jobs,
        List<JobRecord> finished) {}
