package org.marjoramnotch.logic.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.marjoramnotch.model.identifier.TaskAttemptId;
import org.marjoramnotch.model.job.WorkerOrder;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.rule.QueuePolicy;
import org.marjoramnotch.model.rule.Repetition;

/**
 * Makes room for urgent work that waits too long by stopping idempotent batch runs, the least work
 * lost first. The worker is kept for the urgent job meanwhile.
 */
final class Preemption {
    private static final int WORKERS_LOOKED_AT = 32;
    private static final int MOST_INTERRUPTIONS = 5;
    private static final long WORTH_SAVING_MILLISECONDS = 2_000;
    private static final long CHECKPOINT_MILLISECONDS = 5_000;
    private static final long KEPT_MILLISECONDS = 15_000;
    private static final long RETRY_MILLISECONDS = 100;
    private static final int PLANS_PER_TICK = 4;

    private final JobSettings settings;
    private final WorkerPool pool;
    private final WaitingJobs waiting;
    private final WorkerRequests workers;
    private final DutyContext context;
    private int planned;

    Preemption(
            JobSettings settings,
            WorkerPool pool,
            WaitingJobs waiting,
            WorkerRequests workers,
            DutyContext context) {
        this.settings = settings;
        this.pool = pool;
        this.waiting = waiting;
        this.workers = workers;
        this.context = context;
    }

    /** Starts a tick, in which a bounded number of plans is made. */
    void startTick() {
        planned = 0;
    }

    /** Takes over that a job whose team has room does not fit now. */
    void blocked(QueuedJob queued) {
        boolean due =
                queued.job.specification.urgent()
                        && queued.job.policy != QueuePolicy.GANG
                        && context.now() - queued.waitingSinceMilliseconds
                                >= settings.preemptionDelayMilliseconds()
                        && queued.preemptions < queued.waiting()
                        && context.now() >= queued.nextPreemptionMilliseconds
                        && planned < PLANS_PER_TICK;
        if (due) {
            planned++;
            queued.nextPreemptionMilliseconds = context.now() + RETRY_MILLISECONDS;
            pool.free().sample(WORKERS_LOOKED_AT).stream()
                    .filter(worker -> worker.reservation == null)
                    .filter(worker -> worker.capacity().holds(queued.job.perTask()))
                    .flatMap(worker -> plan(worker, queued).stream())
                    .min(
                            Comparator.comparingDouble(Plan::cost)
                                    .thenComparing(plan -> plan.worker().id()))
                    .ifPresent(plan -> carryOut(plan, queued));
        }
    }

    private Optional<Plan> plan(WorkerSession worker, QueuedJob queued) {
        List<TaskEntry> victims = new ArrayList<>();
        for (TaskEntry task : worker.entry.runs()) {
            if (mayStop(task, worker, queued.job)) {
                victims.add(task);
            }
        }
        victims.sort(
                Comparator.comparingDouble(this::cost)
                        .thenComparing(task -> task.job.sequence)
                        .thenComparing(task -> task.number));
        Resources free = worker.free();
        List<TaskEntry> chosen = new ArrayList<>();
        double cost = 0;
        for (TaskEntry task : victims) {
            if (free.holds(queued.job.perTask())) {
                break;
            }
            chosen.add(task);
            cost += cost(task);
            free = free.plus(task.job.perTask());
        }
        boolean enough = free.holds(queued.job.perTask());
        return enough ? Optional.of(new Plan(worker, chosen, cost)) : Optional.empty();
    }

    /** Spares work that runs at most once, urgent work and teams that are below the urgent one. */
    private boolean mayStop(TaskEntry task, WorkerSession worker, JobEntry urgent) {
        JobEntry job = task.job;
        return job.policy == QueuePolicy.BATCH
                && job.repetition == Repetition.IDEMPOTENT
                && !job.specification.urgent()
                && !job.stopping
                && task.interruptions < MOST_INTERRUPTIONS
                && !worker.extraOrders.containsKey(task.attempt())
                && (settings.order() == QueueOrder.URGENT_FIRST
                        || job.team.equals(urgent.team)
                        || waiting.shareUsed(job.team) > waiting.shareUsed(urgent.team));
    }

    /** Returns the work lost, as run time by part of all workers. */
    private double cost(TaskEntry task) {
        long ran = context.now() - task.sinceMilliseconds + 1;
        return ran * ResourceDimension.dominantPart(task.job.perTask(), pool.total());
    }

    private void carryOut(Plan plan, QueuedJob queued) {
        queued.preemptions++;
        CapacityReservation kept =
                CapacityReservation.keep(queued, context.now(), List.of(plan.worker()));
        context.at(
                context.now() + KEPT_MILLISECONDS,
                () -> {
                    kept.release();
                    queued.preemptions--;
                    waiting.retryParked();
                });
        plan.victims().forEach(task -> stop(plan.worker(), task));
        workers.wake(plan.worker());
    }

    private void stop(WorkerSession worker, TaskEntry task) {
        TaskAttemptId attempt = task.attempt();
        long ran = context.now() - task.sinceMilliseconds;
        if (ran < WORTH_SAVING_MILLISECONDS) {
            worker.extraOrders.put(attempt, new WorkerOrder.Stop(attempt));
            return;
        }
        worker.extraOrders.put(attempt, new WorkerOrder.Checkpoint(attempt));
        context.at(
                context.now() + CHECKPOINT_MILLISECONDS,
                () ->
                        worker.extraOrders.computeIfPresent(
                                attempt, (key, order) -> new WorkerOrder.Stop(key)));
    }

    private record Plan(WorkerSession worker, List<TaskEntry> victims, double cost) {}
}
