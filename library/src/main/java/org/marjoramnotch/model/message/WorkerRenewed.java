package org.marjoramnotch.model.message;

import java.util.List;
import org.marjoramnotch.model.job.WorkerOrder;

/**
 * Confirms that the lease of a worker is renewed. The lease counts from the time at which the
 * worker sent the renewal.
 *
 * @param epoch the fencing epoch of the worker
 * @param leaseMilliseconds time after sending the renewal after which the worker stops all its runs
 * @param orders the orders to carry out
 */
public record WorkerRenewed(long epoch, long leaseMilliseconds, List<WorkerOrder> orders)
        implements CellReply {}
