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
 * Frees capacity for urgent work that has waited too long by stopping idempotent batch runs,
 * choosing those that lose the least work. The worker is reserved for the urgent job in the
 * meantime.
 */
final class Preemption {
    private static final int CANDIDATE_WORKERS = 32;
    private static final int MAXIMUM_INTERRUPTIONS = 5;
    private static final long MINIMUM_CHECKPOINT_RUN_MILLISECONDS = 2_000;
    private static final long CHECKPOINT_TIMEOUT_MILLISECONDS = 5_000;
    private static final long RESERVATION_MILLISECONDS = 15_000;
    private static final long RETRY_MILLISECONDS = 100;
    private static final int PLANS_PER_TICK = 4;

    private final JobSettings settings;
    private final WorkerPool pool;
    private final WaitingJobs waiting;
    private final WorkerRequestHandler workerRequests;
    private final DutyContext context;
    private int plansThisTick;

    Preemption(
            JobSettings settings,
            WorkerPool pool,
            WaitingJobs waiting,
            WorkerRequestHandler workers,
            DutyContext context) {
        this.settings = settings;
        this.pool = pool;
        this.waiting = waiting;
        this.workerRequests = workers;
        this.context = context;
    }

    /** Starts a tick. The number of plans per tick is limited. */
    void startTick() {
        plansThisTick = 0;
    }

    /** Handles a job that does not fit now although its team is below its limit. */
    void onBlocked(QueuedJob queued) {
        boolean due =
                queued.job.specification.urgent()
                        && queued.job.policy != QueuePolicy.GANG
                        && context.now() - queued.waitingSinceMilliseconds
                                >= settings.preemptionDelayMilliseconds()
                        && queued.preemptions < queued.waitingTasks()
                        && context.now() >= queued.nextPreemptionMilliseconds
                        && plansThisTick < PLANS_PER_TICK;
        if (due) {
            plansThisTick++;
            queued.nextPreemptionMilliseconds = context.now() + RETRY_MILLISECONDS;
            pool.free().sample(CANDIDATE_WORKERS).stream()
                    .filter(worker -> worker.reservation == null)
                    .filter(worker -> worker.capacity().holds(queued.job.perTask()))
                    .flatMap(worker -> plan(worker, queued).stream())
                    .min(
                            Comparator.comparingDouble(Plan::cost)
                                    .thenComparing(plan -> plan.worker().id()))
                    .ifPresent(plan -> execute(plan, queued));
        }
    }

    private Optional<Plan> plan(WorkerSession worker, QueuedJob queued) {
        List<TaskEntry> victims = new ArrayList<>();
        for (TaskEntry task : worker.entry.runs()) {
            if (isPreemptible(task, worker, queued.job)) {
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

    /**
     * Returns whether a run may be stopped for an urgent job. Work that must run at most once and
     * urgent work are never stopped. Unless the order is {@link QueueOrder#URGENT_FIRST}, the work
     * of another team is stopped only if that team uses more of its share than the team of the
     * urgent job.
     */
    private boolean isPreemptible(TaskEntry task, WorkerSession worker, JobEntry urgent) {
        JobEntry job = task.job;
        return job.policy == QueuePolicy.BATCH
                && job.repetition == Repetition.IDEMPOTENT
                && !job.specification.urgent()
                && !job.stopping
                && task.interruptions < MAXIMUM_INTERRUPTIONS
                && !worker.extraOrders.containsKey(task.attempt())
                && (settings.order() == QueueOrder.URGENT_FIRST
                        || job.team.equals(urgent.team)
                        || waiting.shareUsed(job.team) > waiting.shareUsed(urgent.team));
    }

    /**
     * Returns the work that is lost: the time that the run took so far, in milliseconds, multiplied
     * by its dominant share of the capacity of all workers.
     */
    private double cost(TaskEntry task) {
        long ran = context.now() - task.phaseStartMilliseconds + 1;
        return ran * ResourceDimension.dominantShare(task.job.perTask(), pool.total());
    }

    private void execute(Plan plan, QueuedJob queued) {
        queued.preemptions++;
        CapacityReservation reservation =
                CapacityReservation.reserve(queued, context.now(), List.of(plan.worker()));
        context.schedule(
                context.now() + RESERVATION_MILLISECONDS,
                () -> {
                    reservation.release();
                    queued.preemptions--;
                    waiting.retryParked();
                });
        plan.victims().forEach(task -> stop(plan.worker(), task));
        workerRequests.wake(plan.worker());
    }

    private void stop(WorkerSession worker, TaskEntry task) {
        TaskAttemptId attempt = task.attempt();
        long ran = context.now() - task.phaseStartMilliseconds;
        if (ran < MINIMUM_CHECKPOINT_RUN_MILLISECONDS) {
            worker.extraOrders.put(attempt, new WorkerOrder.Stop(attempt));
            return;
        }
        worker.extraOrders.put(attempt, new WorkerOrder.Checkpoint(attempt));
        context.schedule(
                context.now() + CHECKPOINT_TIMEOUT_MILLISECONDS,
                () ->
                        worker.extraOrders.computeIfPresent(
                                attempt, (key, order) -> new WorkerOrder.Stop(key)));
    }

    private record Plan(WorkerSession worker, List<TaskEntry> victims, double cost) {}
}
