package org.marjoramnotch.model.message;

import java.util.List;
import org.marjoramnotch.model.identifier.TaskAttemptId;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.job.TaskReport;
import org.marjoramnotch.model.job.TaskUsage;

/**
 * Renews the lease of a worker and reports what it runs; held until there are orders or the wait
 * ends.
 *
 * @param worker the worker
 * @param epoch its epoch
 * @param waitMilliseconds longest time to hold the answer
 * @param running runs that it has
 * @param ended runs that ended since the last answered renewal
 * @param usage what runs used, with a lag
 */
public record RenewWorker(
        WorkerId worker,
        long epoch,
        long waitMilliseconds,
        List<TaskAttemptId> running,
        List<TaskReport> ended,
        List<TaskUsage> usage)
        implements CellRequest {}
