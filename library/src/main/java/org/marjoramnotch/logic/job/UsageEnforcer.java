package org.marjoramnotch.logic.job;

import java.util.List;
import org.marjoramnotch.model.identifier.TaskAttemptId;
import org.marjoramnotch.model.job.TaskUsage;
import org.marjoramnotch.model.job.WorkerOrder;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.rule.Repetition;

/**
 * Limits runs to the resources that they reserved. Processor use above the reservation is
 * throttled. Memory use cannot be throttled: when a worker is short of memory, runs above their
 * reservation are checkpointed, or stopped if they must run at most once and cannot continue
 * elsewhere.
 */
final class UsageEnforcer {
    /**
     * Usage is reported with a delay and fluctuates, so up to a tenth above the reservation is
     * tolerated.
     */
    private static final int TOLERATED_PERCENT = 110;

    private UsageEnforcer() {}

    /** Updates the orders of a worker after a usage report. */
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
            boolean canResume = task.job.repetition == Repetition.IDEMPOTENT;
            worker.extraOrders.put(
                    attempt,
                    canResume
                            ? new WorkerOrder.Checkpoint(attempt)
                            : new WorkerOrder.Stop(attempt));
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
