package org.marjoramnotch.logic.preemption;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import java.util.stream.Collectors;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.StepId;

/** The runs that are being stopped for urgent steps, and the capacity reserved for these steps. */
public final class ReservedCapacity {
    /** How long freed capacity is kept for a step that does not take it. */
    private static final long KEPT_MILLISECONDS = 1_000;

    /** Time after which a stop that shows no end is considered lost: twice the longest stop. */
    private static final long LOST_MILLISECONDS = 2_000;

    /**
     * The longest lease: by then a run that is not stopped has lapsed, or its worker is at fault.
     */
    private static final long FORGET_MILLISECONDS = 10_000;

    /** A run that is being stopped. */
    private record Stopping(WorkerIncarnation worker, Resources resources, long requestedAt) {}

    /** Capacity of a worker for one task; the runs are those that end before it is free. */
    private static final class Reserved {
        private final PreemptionPlan.Reservation reservation;
        private final Set<RunId> awaited;
        private long since;

        Reserved(PreemptionPlan.Reservation reservation, Set<RunId> awaited, long since) {
            this.reservation = reservation;
            this.awaited = awaited;
            this.since = since;
        }

        boolean isExpired(long nowMilliseconds) {
            long limit = awaited.isEmpty() ? KEPT_MILLISECONDS : LOST_MILLISECONDS;
            return nowMilliseconds - since >= limit;
        }
    }

    private final Map<RunId, Stopping> stopping = new LinkedHashMap<>();
    private final List<Reserved> reserved = new ArrayList<>();

    /** Adds the runs and the reservations of a plan. */
    public void add(long nowMilliseconds, PreemptionPlan plan) {
        plan.stops()
                .forEach(
                        stop ->
                                stop.candidate()
                                        .parts()
                                        .forEach(
                                                part ->
                                                        stopping.put(
                                                                part.run(),
                                                                new Stopping(
                                                                        part.worker(),
                                                                        part.resources(),
                                                                        nowMilliseconds))));
        for (PreemptionPlan.Reservation reservation : plan.reservations()) {
            // A gang starts once the last of its workers is free.
            Set<WorkerIncarnation> workers =
                    plan.reservations().stream()
                            .filter(other -> other.step().equals(reservation.step()))
                            .map(PreemptionPlan.Reservation::worker)
                            .collect(Collectors.toSet());
            Set<RunId> awaited = new HashSet<>();
            stopping.forEach(
                    (run, stopped) -> {
                        if (workers.contains(stopped.worker())) {
                            awaited.add(run);
                        }
                    });
            reserved.add(new Reserved(reservation, awaited, nowMilliseconds));
        }
    }

    /** Returns whether no run is being stopped and nothing is reserved. */
    public boolean isEmpty() {
        return stopping.isEmpty() && reserved.isEmpty();
    }

    /** Returns whether a run is being stopped. */
    public boolean isStopping(RunId run) {
        return stopping.containsKey(run);
    }

    /** Returns the runs that are being stopped. */
    public Set<RunId> stoppingRuns() {
        return Set.copyOf(stopping.keySet());
    }

    /** Returns the processor capacity being stopped on some of the workers, in thousandths. */
    public long stoppingProcessorMillis(Predicate<WorkerIncarnation> workers) {
        return stopping.values().stream()
                .filter(stopped -> workers.test(stopped.worker()))
                .mapToLong(stopped -> stopped.resources().processorMillis())
                .sum();
    }

    /** Handles the end of a run; returns whether it was being stopped. */
    public boolean onEnded(long nowMilliseconds, RunId run) {
        boolean stopped = stopping.remove(run) != null;
        if (stopped) {
            for (Reserved entry : reserved) {
                if (entry.awaited.remove(run) && entry.awaited.isEmpty()) {
                    entry.since = nowMilliseconds;
                }
            }
        }
        return stopped;
    }

    /** Handles the placement of a task of a step, which takes what is reserved for it. */
    public void onPlaced(StepId step, WorkerIncarnation worker) {
        Reserved taken = null;
        for (Reserved entry : reserved) {
            boolean here = entry.reservation.worker().equals(worker);
            if (entry.reservation.step().equals(step) && (taken == null || here)) {
                taken = entry;
                if (here) {
                    break;
                }
            }
        }
        reserved.remove(taken);
    }

    /**
     * Ends reservations that were kept for long, whose step waits no more or whose worker is gone,
     * and forgets runs that have not stopped for long.
     *
     * @param waiting how many tasks of a step wait
     * @param present whether a worker is still there
     */
    public void expire(
            long nowMilliseconds,
            ToIntFunction<StepId> waiting,
            Predicate<WorkerIncarnation> present) {
        stopping.values()
                .removeIf(run -> nowMilliseconds - run.requestedAt() >= FORGET_MILLISECONDS);
        Map<StepId, Integer> left = new LinkedHashMap<>();
        reserved.removeIf(
                entry ->
                        entry.isExpired(nowMilliseconds)
                                || !present.test(entry.reservation.worker())
                                || left.merge(entry.reservation.step(), 1, Integer::sum)
                                        > waiting.applyAsInt(entry.reservation.step()));
    }

    /** Returns for how many tasks of a step capacity is reserved. */
    public int count(StepId step) {
        return (int)
                reserved.stream().filter(entry -> entry.reservation.step().equals(step)).count();
    }

    /** Returns the workers with capacity reserved for a step. */
    public Set<WorkerIncarnation> workersOf(StepId step) {
        return reserved.stream()
                .map(entry -> entry.reservation)
                .filter(reservation -> reservation.step().equals(step))
                .map(PreemptionPlan.Reservation::worker)
                .collect(Collectors.toSet());
    }

    /**
     * Returns what must stay free on a worker: what is reserved there beyond what the runs being
     * stopped still hold.
     */
    public Resources keptOn(WorkerIncarnation worker) {
        Resources total = reservedOn(worker, step -> true);
        if (total == Resources.NONE) {
            return total;
        }
        return less(total, stoppingOn(worker, Long.MIN_VALUE));
    }

    /** Returns the part of it that is kept for one of the steps. */
    public Resources keptOn(WorkerIncarnation worker, StepId step) {
        Resources keptForOthers =
                less(
                        reservedOn(worker, other -> !other.equals(step)),
                        stoppingOn(worker, Long.MIN_VALUE));
        return less(keptOn(worker), keptForOthers);
    }

    /**
     * Returns what the runs being stopped on a worker will free beyond what is reserved there.
     *
     * @param since stops requested before this time are considered lost
     */
    public Resources surplusOn(WorkerIncarnation worker, long since) {
        Resources freed = stoppingOn(worker, since);
        return freed == Resources.NONE ? freed : less(freed, reservedOn(worker, step -> true));
    }

    private Resources reservedOn(WorkerIncarnation worker, Predicate<StepId> steps) {
        Resources sum = Resources.NONE;
        for (Reserved entry : reserved) {
            PreemptionPlan.Reservation reservation = entry.reservation;
            if (reservation.worker().equals(worker) && steps.test(reservation.step())) {
                sum = sum.plus(reservation.demand());
            }
        }
        return sum;
    }

    private Resources stoppingOn(WorkerIncarnation worker, long since) {
        Resources sum = Resources.NONE;
        for (Stopping stopped : stopping.values()) {
            if (stopped.worker().equals(worker) && stopped.requestedAt() >= since) {
                sum = sum.plus(stopped.resources());
            }
        }
        return sum;
    }

    /** Returns the difference of two amounts, or zero where the other is larger. */
    private static Resources less(Resources amount, Resources other) {
        return new Resources(
                Math.max(0, amount.processorMillis() - other.processorMillis()),
                Math.max(0, amount.memoryMegabytes() - other.memoryMegabytes()),
                Math.max(0, amount.accelerators() - other.accelerators()));
    }
}
