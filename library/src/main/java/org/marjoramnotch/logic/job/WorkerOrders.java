package org.marjoramnotch.logic.job;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.marjoramnotch.model.identifier.TaskAttemptId;
import org.marjoramnotch.model.job.WorkerOrder;

/** Derives what a worker is to do from the ledger and the worker's last report. */
final class WorkerOrders {
    /** Orders that show no effect are repeated after this time. */
    static final long REPEAT_MILLISECONDS = 1_000;

    /** A run is missing when no report has shown it for this long. */
    static final long MISSING_TIMEOUT_MILLISECONDS = 3_000;

    private WorkerOrders() {}

    /**
     * Returns all orders that the worker's last report does not show done.
     *
     * <p>A run that the worker reported once and no longer does is not taken as ended: a delayed
     * report may be older than the run. When it stays missing it is stopped. The worker answers a
     * stop of a run that it does not have with an end, {@code NOT_STARTED} if it never started it,
     * and then never starts it.
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

    /** Tells whether the orders hold any that the worker was not told lately. */
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
