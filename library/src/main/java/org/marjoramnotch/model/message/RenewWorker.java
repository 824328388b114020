package org.marjoramnotch.model.message;

import java.util.List;
import org.marjoramnotch.model.identifier.TaskAttemptId;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.job.TaskReport;
import org.marjoramnotch.model.job.TaskUsage;

/**
 * Renews the lease of a worker and reports its runs. The reply is held until there are orders or
 * the wait ends.
 *
 * @param worker the worker
 * @param epoch the epoch of the worker
 * @param waitMilliseconds maximum time to hold the reply
 * @param running runs in progress
 * @param ended runs that have ended since the last answered renewal
 * @param usage measured resource usage of runs; lags behind
 */
public record RenewWorker(
        WorkerId worker,
        long epoch,
        long waitMilliseconds,
        List<TaskAttemptId> running,
        List<TaskReport> ended,
        List<TaskUsage> usage)
        implements CellRequest {}
