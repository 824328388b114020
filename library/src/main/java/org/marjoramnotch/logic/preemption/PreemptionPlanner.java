package org.marjoramnotch.logic.preemption;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.logic.preemption.PreemptionPlan.Declined;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.StepId;

/**
 * Decides which runs are stopped so that urgent steps start in time. Addresses short work of the
 * highest priority that arrives while long work of lower priority fills its pool.
 */
public final class PreemptionPlanner {
    /** Callers of less urgent work lose at most this multiple of the urgent core time. */
    private static final long MAXIMUM_LOSS_RATIO = 4;

    /** Share of the pool's processors that may be being stopped at one time, in percent. */
    private static final long MAXIMUM_STOPPING_PERCENT = 5;

    /** A third preemption of a task could keep it from ever ending. */
    private static final int MAXIMUM_PREEMPTIONS = 2;

    /** Bounds the time of a round; further tasks are considered in the next rounds. */
    private static final int MAXIMUM_SEARCHES = 24;

    private static final int PERCENT = 100;

    private static final Comparator<Ordered> LEAST_LOSS_FIRST =
            Comparator.comparing((Ordered ordered) -> ordered.worth())
                    .thenComparingDouble(Ordered::lossForCapacity);

    /**
     * A candidate with what it is ordered by.
     *
     * @param worth whether its result is still worth something
     * @param lossForCapacity the time lost for the capacity gained
     */
    private record Ordered(PreemptionCandidate candidate, boolean worth, double lossForCapacity) {
        static Ordered of(PreemptionCandidate candidate) {
            return new Ordered(
                    candidate,
                    candidate.loss() != PreemptionLoss.WORTHLESS,
                    (double) candidate.lostProcessorMilliseconds()
                            / Math.max(1, candidate.processorMillis()));
        }
    }

    private final PoolState pool;
    private final List<PreemptionPlan.Stop> stops = new ArrayList<>();
    private final List<PreemptionPlan.Reservation> reservations = new ArrayList<>();
    private PoolRooms rooms;
    private int searches;

    private PreemptionPlanner(PoolState pool, PoolRooms rooms) {
        this.pool = pool;
        this.rooms = rooms;
    }

    /**
     * Returns the steps that would be late without preemption, with the number of tasks that would
     * start late. The tasks of earlier steps get the freed capacity first.
     *
     * @param steps the urgent steps in the order in which they are served
     */
    public static List<UrgentStep> findLate(PoolState pool, List<UrgentStep> steps) {
        List<UrgentStep> late = new ArrayList<>();
        double ahead = 0;
        for (UrgentStep step : steps) {
            double slack = Math.max(0, step.latestStart() - pool.nowMilliseconds());
            double freed = pool.freedPerMillisecond() * slack - ahead;
            long demand = Math.max(1, step.demand().processorMillis());
            int inTime = (int) Math.max(0, Math.min(step.tasks(), freed / demand));
            if (inTime < step.tasks()) {
                late.add(step.gang() ? step : step.withTasks(step.tasks() - inTime));
            }
            ahead += (double) demand * step.tasks();
        }
        return late;
    }

    /** Returns how much of a pool may be being stopped at one time. */
    public static long mostStopping(long processorMillis) {
        return processorMillis * MAXIMUM_STOPPING_PERCENT / PERCENT;
    }

    /** Returns whether a step can still be in time if runs are stopped now. */
    public static boolean canBeInTime(PoolState pool, UrgentStep step) {
        return pool.startMilliseconds() <= step.latestStart();
    }

    /** Returns whether runs may be stopped, or too many are being stopped already. */
    public static boolean mayStopMore(PoolState pool) {
        long before = pool.stoppingProcessorMillis();
        return before == 0 || before * PERCENT < pool.processorMillis() * MAXIMUM_STOPPING_PERCENT;
    }

    /**
     * Plans the stops for late steps.
     *
     * @param late the steps, as returned by {@link #findLate}
     * @param offered runs in the pool
     * @param free what is free on each worker, or becomes free and is not reserved
     */
    public static PreemptionPlan plan(
            PoolState pool,
            List<UrgentStep> late,
            List<PreemptionCandidate> offered,
            Map<WorkerIncarnation, Resources> free) {
        List<Ordered> allowed = new ArrayList<>();
        for (PreemptionCandidate candidate : offered) {
            if (mayStop(pool, candidate)) {
                allowed.add(Ordered.of(candidate));
            }
        }
        allowed.sort(LEAST_LOSS_FIRST);
        PoolRooms rooms =
                new PoolRooms(
                        free,
                        allowed.stream().map(Ordered::candidate).toList(),
                        pool.stoppingProcessorMillis());
        return new PreemptionPlanner(pool, rooms).plan(late);
    }

    private static boolean mayStop(PoolState pool, PreemptionCandidate candidate) {
        return candidate.priority() > 0
                && !candidate.filler()
                && candidate.preemptions() < MAXIMUM_PREEMPTIONS
                && candidate.expectedEnd() > pool.nowMilliseconds() + pool.stopMilliseconds()
                && (candidate.standingStep().isEmpty() || candidate.absenceAllowed());
    }

    private PreemptionPlan plan(List<UrgentStep> late) {
        Map<StepId, Declined> declined = new LinkedHashMap<>();
        for (UrgentStep step : late) {
            if (!canBeInTime(pool, step)) {
                declined.put(step.id(), Declined.LATE_ANYWAY);
            } else if (searches < MAXIMUM_SEARCHES) {
                (step.gang() ? planGang(step) : planSingles(step))
                        .ifPresent(reason -> declined.put(step.id(), reason));
            }
        }
        return new PreemptionPlan(stops, reservations, declined);
    }

    private Optional<Declined> planSingles(UrgentStep step) {
        Map<WorkerIncarnation, Integer> placed = new HashMap<>();
        for (int task = 0; task < step.tasks() && searches < MAXIMUM_SEARCHES; task++) {
            Search search = new Search(step, step.processorMilliseconds(1), placed);
            if (search.best == null) {
                return Optional.of(search.reason);
            }
            take(step, search.best, placed);
        }
        return Optional.empty();
    }

    private Optional<Declined> planGang(UrgentStep step) {
        PoolRooms before = rooms.copy();
        int stopsBefore = stops.size();
        int reservationsBefore = reservations.size();
        Map<WorkerIncarnation, Integer> placed = new HashMap<>();
        long worth = step.processorMilliseconds(step.tasks());
        for (int task = 0; task < step.tasks(); task++) {
            Search search = new Search(step, worth, placed);
            if (search.best == null) {
                rooms = before;
                stops.subList(stopsBefore, stops.size()).clear();
                reservations.subList(reservationsBefore, reservations.size()).clear();
                return Optional.of(search.reason);
            }
            long lost = search.best.lostProcessorMilliseconds();
            worth -= (lost + MAXIMUM_LOSS_RATIO - 1) / MAXIMUM_LOSS_RATIO;
            take(step, search.best, placed);
        }
        return Optional.empty();
    }

    private void take(
            UrgentStep step, PoolRooms.Choice choice, Map<WorkerIncarnation, Integer> placed) {
        rooms.take(choice, step.demand());
        for (PreemptionCandidate candidate : choice.stopped()) {
            stops.add(new PreemptionPlan.Stop(candidate, step.id()));
        }
        reservations.add(new PreemptionPlan.Reservation(step.id(), choice.worker(), step.demand()));
        placed.merge(choice.worker(), 1, Integer::sum);
    }

    /**
     * Returns whether the stops are within the share of the pool. A single run may always be
     * stopped while no other is; otherwise a small pool would have no preemption.
     */
    private boolean isWithinShare(PoolRooms.Choice choice) {
        long before = rooms.stoppingProcessorMillis();
        long after = before + choice.processorMillis();
        return after == before
                || (before == 0 && choice.runs() == 1)
                || after * PERCENT <= pool.processorMillis() * MAXIMUM_STOPPING_PERCENT;
    }

    /** The search for the worker on which room for one task costs least. */
    private final class Search {
        private final long worth;
        private PoolRooms.@Nullable Choice best;
        private Declined reason;

        /**
         * Searches all workers.
         *
         * @param worth core time that the urgent work needs, in core-milliseconds
         * @param placed how many tasks of the step are planned on each worker
         */
        Search(UrgentStep step, long worth, Map<WorkerIncarnation, Integer> placed) {
            this.worth = worth;
            searches++;
            this.reason = mayStopMore(pool) ? Declined.NO_CANDIDATE : Declined.TOO_MANY_STOPS;
            for (PoolRooms.Room room : rooms.rooms()) {
                WorkerIncarnation worker = room.worker();
                int here = placed.isEmpty() ? 0 : placed.getOrDefault(worker, 0);
                if (step.places().applyAsInt(worker) > here) {
                    rooms.choose(room, step.demand()).ifPresent(this::consider);
                }
            }
        }

        private void consider(PoolRooms.Choice choice) {
            if (choice.lostProcessorMilliseconds() > MAXIMUM_LOSS_RATIO * worth) {
                if (reason == Declined.NO_CANDIDATE) {
                    reason = Declined.LOSS_TOO_LARGE;
                }
            } else if (!isWithinShare(choice)) {
                reason = Declined.TOO_MANY_STOPS;
            } else if (best == null || choice.isBetterThan(best)) {
                best = choice;
            }
        }
    }
}
