package org.marjoramnotch.model.message;

import java.util.List;
import org.marjoramnotch.model.job.WorkerOrder;

/**
 * The lease of the worker is renewed, counted from the sending of the renewal.
 *
 * @param epoch the fencing epoch
 * @param leaseMilliseconds the worker stops all its runs this long after it sent the renewal
 * @param orders what to do
 */
public record WorkerRenewed(long epoch, long leaseMilliseconds, List<WorkerOrder> orders)
        implements CellReply {}
