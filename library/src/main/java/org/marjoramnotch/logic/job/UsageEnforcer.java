package org.marjoramnotch.logic.job;

import java.util.List;
import org.marjoramnotch.model.identifier.TaskAttemptId;
import org.marjoramnotch.model.job.TaskUsage;
import org.marjoramnotch.model.job.WorkerOrder;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.rule.Repetition;

/**
 * Holds runs to what they reserved: processor use above it is throttled. Memory cannot be
 * throttled; when a worker has too little, runs above their reservation are checkpointed, or
 * stopped when they run at most once and cannot go on elsewhere.
 */
final class UsageEnforcer {
    /** Use is reported with a lag and varies; less than a tenth above is left alone. */
    private static final int TOLERATED_PERCENT = 110;

    private UsageEnforcer() {}

    /** Sets the orders that follow from a report of use. */
    static void check(WorkerSession worker, JobLedger ledger, List<TaskUsage> usage) {
        long memory = usage.stream().mapToLong(use -> use.used().memoryMegabytes()).sum();
        boolean memoryShort = memory > worker.capacity().memoryMegabytes();
        for (TaskUsage use : usage) {
            ledger.task(use.attempt().task())
                    .filter(task -> task.isCurrentRun(use.attempt().number()))
                    .filter(task -> task.worker == worker.entry)
                    .ifPresent(task -> check(worker, task, use, memoryShort));
        }
    }

    private static void check(
            WorkerSession worker, TaskEntry task, TaskUsage use, boolean memoryShort) {
        TaskAttemptId attempt = use.attempt();
        Resources reserved = task.job.perTask();
        boolean overMemory = use.used().memoryMegabytes() > reserved.memoryMegabytes();
        if (memoryShort && overMemory) {
            boolean saved = task.job.repetition == Repetition.IDEMPOTENT;
            worker.extraOrders.put(
                    attempt,
                    saved ? new WorkerOrder.Checkpoint(attempt) : new WorkerOrder.Stop(attempt));
            return;
        }
        WorkerOrder before = worker.extraOrders.get(attempt);
        if (before != null && !(before instanceof WorkerOrder.Throttle)) {
            return;
        }
        long tolerated = reserved.processorMillis() * TOLERATED_PERCENT / 100;
        if (use.used().processorMillis() > tolerated) {
            worker.extraOrders.put(
                    attempt, new WorkerOrder.Throttle(attempt, reserved.processorMillis()));
        } else {
            worker.extraOrders.remove(attempt);
        }
    }
}
