package org.marjoramnotch.model.job;

import java.util.List;

/**
 * The whole replicated state of jobs and workers.
 *
 * @param lastEpoch the highest fencing epoch that any worker got
 * @param lastSequence the sequence number of the last accepted job
 * @param workers registered workers by name
 * @param jobs jobs that have not ended, by sequence
 * @param finished jobs that have ended, in the order in which they ended
 */
public record JobSnapshot(
        long lastEpoch,
        long lastSequence,
        List<WorkerSnapshot> workers,
        List<JobRecord> jobs,
        List<JobRecord> finished) {}
