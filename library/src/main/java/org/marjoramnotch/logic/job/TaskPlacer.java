package org.marjoramnotch.logic.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.logic.ledger.TeamUsage;
import org.marjoramnotch.model.command.CommandResult;
import org.marjoramnotch.model.command.StartTasks;
import org.marjoramnotch.model.command.TaskPlacement;
import org.marjoramnotch.model.error.Invariant;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.rule.QueuePolicy;

/** Decides which queued tasks start on which workers, and proposes the starts. */
final class TaskPlacer {
    /**
     * Number of jobs of one shape that are tried if the first ones exclude the workers with free
     * capacity.
     */
    private static final int MAXIMUM_JOBS_PER_SHAPE = 4;

    private static final long LIMIT_RESERVATION_PERIOD_MILLISECONDS = 60_000;

    /** Number of jobs other than gangs for which workers are reserved at the same time. */
    private static final int MAXIMUM_RESERVATIONS = 4;

    private final JobSettings settings;
    private final TeamUsage usage;
    private final WaitingJobs waiting;
    private final WorkerPool pool;
    private final PlacementPolicies policies;
    private final RunTimeEstimates runTimes;
    private final Reservations gangReservations;
    private final Reservations otherReservations;
    private final Preemption preemption;
    private final DutyContext context;

    /**
     * Task sizes that did not fit in this tick, each with the shortest expected run time in
     * milliseconds for which it did not fit.
     */
    private final Map<Resources, Long> unplaceable = new HashMap<>();

    private final Map<StartTasks, List<ProposedStart>> proposed = new HashMap<>();

    /** Number of placements of each team that are proposed but not applied yet. */
    private final Map<TeamName, Integer> pending = new HashMap<>();

    /** Number of jobs considered in this tick. */
    private int attempts;

    TaskPlacer(
            JobSettings settings,
            TeamUsage usage,
            WaitingJobs waiting,
            WorkerPool pool,
            RunTimeEstimates runTimes,
            Preemption preemption,
            DutyContext context) {
        this.runTimes = runTimes;
        this.gangReservations = new Reservations(1, pool, runTimes);
        this.otherReservations = new Reservations(MAXIMUM_RESERVATIONS, pool, runTimes);
        this.preemption = preemption;
        this.context = context;
        this.settings = settings;
        this.usage = usage;
        this.waiting = waiting;
        this.pool = pool;
        this.policies = new PlacementPolicies(settings.order());
    }

    /**
     * Proposes a limited number of starts, beginning with the team that is furthest below its
     * share.
     */
    void place(LeaderOutput output) {
        preemption.startTick();
        gangReservations.releaseObsolete();
        otherReservations.releaseObsolete();
        Map<JobEntry, List<ProposedStart>> starts = new LinkedHashMap<>();
        int placed = 0;
        attempts = 0;
        unplaceable.clear();
        while (placed < settings.maximumPlacementsPerTick()
                && attempts < settings.maximumAttemptsPerTick()) {
            Optional<TeamQueue> team = waiting.next();
            if (team.isEmpty()) {
                break;
            }
            List<ProposedStart> chosen = choose(team.get());
            if (chosen.isEmpty()) {
                waiting.park(team.get());
                continue;
            }
            waiting.putBack(team.get());
            chosen.forEach(this::hold);
            JobEntry job = chosen.get(0).task().job;
            waiting.find(job)
                    .ifPresent(
                            queued -> {
                                queued.waitingSinceMilliseconds = context.now();
                                waiting.update(queued);
                            });
            starts.computeIfAbsent(job, key -> new ArrayList<>()).addAll(chosen);
            placed += chosen.size();
        }
        starts.values().forEach(list -> propose(list, output));
    }

    /** Handles the result of a proposal. The tasks of a refused proposal wait again. */
    void onApplied(StartTasks command, CommandResult result) {
        List<ProposedStart> starts = proposed.remove(command);
        if (starts == null) {
            return;
        }
        boolean refused = result instanceof CommandResult.Rejected;
        // Releases all pending amounts before any worker is indexed again, since the ledger has
        // already deducted the amounts of all starts.
        starts.forEach(start -> start.worker().removePending(start.task().job.perTask()));
        starts.forEach(start -> release(start, refused));
        if (refused) {
            waiting.find(starts.get(0).task().job).ifPresent(waiting::update);
            waiting.retryParked();
        }
    }

    /**
     * Returns starts for the first job that fits. A gang that has waited long reserves a part of
     * the limit of its team: the jobs behind it must leave enough of the limit for all its tasks.
     */
    private List<ProposedStart> choose(TeamQueue team) {
        int reservedLimit = 0;
        for (ShapeQueue shape : team.shapes()) {
            int tried = 0;
            for (QueuedJob queued : shape.jobs) {
                List<ProposedStart> chosen = choose(queued, reservedLimit);
                if (!chosen.isEmpty()) {
                    return chosen;
                }
                if (reservedLimit == 0 && reservesLimit(queued)) {
                    reservedLimit = queued.waitingTasks();
                }
                tried++;
                if (queued.avoidedWorkers.isEmpty() || tried == MAXIMUM_JOBS_PER_SHAPE) {
                    break;
                }
            }
            if (settings.order() == QueueOrder.FIRST_COME) {
                break;
            }
        }
        return List.of();
    }

    /**
     * Returns whether a gang reserves a part of the limit of its team. It does so only in every
     * other period, since services may hold the rest of the limit permanently.
     */
    private boolean reservesLimit(QueuedJob queued) {
        if (queued.job.policy != QueuePolicy.GANG || !isOverdue(queued)) {
            return false;
        }
        long overdue =
                context.now()
                        - queued.waitingSinceMilliseconds
                        - settings.reservationDelayMilliseconds();
        int limit = usage.remaining(queued.job.team) + usage.running(queued.job.team);
        boolean inPeriod = overdue / LIMIT_RESERVATION_PERIOD_MILLISECONDS % 2 == 0;
        return inPeriod && queued.waitingTasks() <= limit;
    }

    private boolean isOverdue(QueuedJob queued) {
        long waited = context.now() - queued.waitingSinceMilliseconds;
        return waited >= settings.reservationDelayMilliseconds();
    }

    private List<ProposedStart> choose(QueuedJob queued, int reservedLimit) {
        attempts++;
        int tasks = TaskShape.of(queued).simultaneousTasks();
        if (remainingLimit(queued.job) - reservedLimit < tasks) {
            gangReservations.release(queued);
            otherReservations.release(queued);
            return List.of();
        }
        if (isKnownUnplaceable(queued)) {
            return List.of();
        }
        Predicate<WorkerSession> allowed = worker -> admits(worker, queued);
        List<WorkerSession> workers =
                policies.of(queued.job.policy)
                        .choose(new PlacementRequest(queued, tasks, allowed), pool.free());
        if (workers.isEmpty()) {
            onBlocked(queued);
        }
        List<ProposedStart> chosen = new ArrayList<>();
        for (WorkerSession worker : workers) {
            TaskEntry task = queued.poll().orElseThrow();
            queued.addProposedWorker(worker);
            chosen.add(new ProposedStart(task, worker, task.nextAttempt()));
        }
        return chosen;
    }

    /**
     * Returns whether a task of the same size that is expected to end no later did not fit in this
     * tick.
     */
    private boolean isKnownUnplaceable(QueuedJob queued) {
        Long shortestRunTime = unplaceable.get(queued.job.perTask());
        return shortestRunTime != null
                && !queued.hadReservation
                && runTimes.ninetiethPercentile(queued.job) >= shortestRunTime;
    }

    private boolean admits(WorkerSession worker, QueuedJob queued) {
        if (!queued.avoidedWorkers.isEmpty() && queued.avoidedWorkers.contains(worker.id())) {
            return false;
        }
        return !worker.isReserved()
                || worker.admits(queued, context.now() + runTimes.ninetiethPercentile(queued.job));
    }

    /**
     * Records for this tick that a job did not fit, and tries a reservation and preemption for it.
     */
    private void onBlocked(QueuedJob queued) {
        if (queued.avoidedWorkers.isEmpty() && queued.job.policy != QueuePolicy.GANG) {
            unplaceable.merge(
                    queued.job.perTask(), runTimes.ninetiethPercentile(queued.job), Math::min);
        }
        if (settings.order() == QueueOrder.FIRST_COME) {
            return;
        }
        if (queued.job.policy == QueuePolicy.GANG) {
            gangReservations.onBlocked(queued, queued.waitingTasks(), context.now());
        } else if (isOverdue(queued)) {
            otherReservations.onBlocked(queued, 1, context.now());
        }
        preemption.onBlocked(queued);
    }

    private int remainingLimit(JobEntry job) {
        return usage.remaining(job.team) - pending.getOrDefault(job.team, 0);
    }

    private void hold(ProposedStart start) {
        JobEntry job = start.task().job;
        Invariant.check(
                start.worker().free().holds(job.perTask()),
                "A placement exceeds the free capacity of worker " + start.worker().id());
        start.worker().addPending(job.perTask());
        start.worker().health.onRunProposed();
        start.worker().endReservation(job);
        pool.onWorkerChanged(start.worker());
        waiting.changeHeldResources(job, job.perTask(), Resources.NONE);
        pending.merge(job.team, 1, Integer::sum);
    }

    private void release(ProposedStart start, boolean refused) {
        JobEntry job = start.task().job;
        if (refused) {
            start.worker().health.onProposalRefused();
        }
        pool.onWorkerChanged(start.worker());
        waiting.changeHeldResources(job, Resources.NONE, job.perTask());
        pending.merge(job.team, -1, Integer::sum);
        waiting.find(job).ifPresent(queued -> queued.onProposalApplied(start, refused));
    }

    private void propose(List<ProposedStart> starts, LeaderOutput output) {
        List<TaskPlacement> placements = new ArrayList<>();
        for (ProposedStart start : starts) {
            WorkerEntry worker = start.worker().entry;
            placements.add(new TaskPlacement(start.attempt(), worker.id(), worker.epoch));
        }
        StartTasks command = new StartTasks(placements);
        proposed.put(command, starts);
        output.propose(command);
    }
}
