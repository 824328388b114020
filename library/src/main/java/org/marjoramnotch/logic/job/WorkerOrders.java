package org.marjoramnotch.logic.job;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.marjoramnotch.model.identifier.TaskAttemptId;
import org.marjoramnotch.model.job.WorkerOrder;

/** Derives the orders for a worker from the ledger and the last report of the worker. */
final class WorkerOrders {
    /** Time after which orders that show no effect are repeated. */
    static final long REPEAT_MILLISECONDS = 1_000;

    /** Time after which a run that no report contains is treated as missing. */
    static final long MISSING_TIMEOUT_MILLISECONDS = 3_000;

    private WorkerOrders() {}

    /**
     * Returns all orders whose effect the last report of the worker does not show.
     *
     * <p>A run that the worker reported before but no longer reports is not treated as ended, since
     * a delayed report may be older than the run. If the run stays missing, it is stopped. When a
     * worker is told to stop a run that it does not have, it reports an end, {@code NOT_STARTED} if
     * it never started the run, and never starts the run afterwards.
     */
    static List<WorkerOrder> derive(WorkerSession worker, long nowMilliseconds) {
        List<WorkerOrder> orders = new ArrayList<>();
        Set<TaskAttemptId> current = new HashSet<>();
        for (TaskEntry task : worker.entry.runs()) {
            TaskAttemptId attempt = task.attempt();
            current.add(attempt);
            if (!worker.endsProposed.contains(attempt)) {
                addOrder(worker, task, orders, nowMilliseconds);
            }
        }
        for (TaskAttemptId attempt : worker.reported) {
            if (!current.contains(attempt)) {
                orders.add(new WorkerOrder.Stop(attempt));
            }
        }
        return orders;
    }

    /** Returns whether the orders contain any that were not sent to the worker recently. */
    static boolean areDue(WorkerSession worker, List<WorkerOrder> orders, long nowMilliseconds) {
        if (orders.isEmpty()) {
            return false;
        }
        return nowMilliseconds >= worker.ordersSentMilliseconds + REPEAT_MILLISECONDS
                || !worker.sentOrders.containsAll(orders);
    }

    private static void addOrder(
            WorkerSession worker, TaskEntry task, List<WorkerOrder> orders, long nowMilliseconds) {
        TaskAttemptId attempt = task.attempt();
        boolean reported = worker.reported.contains(attempt);
        WorkerOrder extra = worker.extraOrders.get(attempt);
        if (task.job.stopping) {
            orders.add(new WorkerOrder.Stop(attempt));
        } else if (extra != null) {
            orders.add(extra);
        } else if (worker.missingSinceMilliseconds.containsKey(attempt)) {
            if (nowMilliseconds
                    >= worker.missingSinceMilliseconds.get(attempt)
                            + MISSING_TIMEOUT_MILLISECONDS) {
                orders.add(new WorkerOrder.Stop(attempt));
            }
        } else if (!reported && !worker.seenRunning.contains(attempt)) {
            orders.add(
                    new WorkerOrder.Start(
                            attempt,
                            worker.entry.epoch,
                            task.job.perTask(),
                            task.job.specification.payload()));
        }
    }
}
