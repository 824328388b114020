package org.marjoramnotch.logic.workflow;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.order.CallOutcome;
import org.marjoramnotch.model.workflow.WorkflowTaskId;

/** The sessions of all workers in one term of leadership. */
final class WorkerSessions {
    private final WorkflowSettings settings;
    private final WorkflowLedger ledger;
    private final long fencingToken;
    private final RunLog log;
    private final CallRegistry calls;
    private final FirstListLimiter firstLists = new FirstListLimiter();
    private final Map<WorkerId, WorkerSession> sessions = new TreeMap<>();
    private final Map<WorkerId, BlockedTasks> blockedTasks = new HashMap<>();

    /** How many sessions of a worker have ended during the duties of this leader. */
    private final Map<WorkerId, Long> laterLives = new HashMap<>();

    /**
     * Tasks that must wait because the next incarnation of a worker may have received their start
     * orders.
     *
     * @param untilByTask when each may start again if the next incarnation does not enroll
     */
    private record BlockedTasks(Map<WorkflowTaskId, Long> untilByTask) {
        BlockedTasks() {
            this(new HashMap<>());
        }

        void add(WorkflowTaskId task, long until) {
            untilByTask.merge(task, until, Math::max);
        }

        /** Removes the tasks that may start again; returns whether none is left. */
        boolean isOver(long nowMilliseconds) {
            untilByTask.values().removeIf(until -> nowMilliseconds >= until);
            return untilByTask.isEmpty();
        }
    }

    WorkerSessions(
            WorkflowSettings settings,
            WorkflowLedger ledger,
            long fencingToken,
            RunLog log,
            long nowMilliseconds) {
        this.settings = settings;
        this.ledger = ledger;
        this.fencingToken = fencingToken;
        this.log = log;
        this.calls = new CallRegistry(fencingToken);
        blockTasksEndedUnseen(nowMilliseconds, worker -> true);
        ledger.workers()
                .forEach(
                        entry -> openSession(entry.worker(), SessionStart.DUTIES, nowMilliseconds));
    }

    /**
     * Blocks tasks whose last run ended with the incarnation of its worker, if the next incarnation
     * may have carried out its start.
     */
    private void blockTasksEndedUnseen(long nowMilliseconds, Predicate<WorkerId> restarted) {
        for (WorkflowEntry entry : ledger.active()) {
            entry.endedUnseen()
                    .forEach(
                            (id, task) ->
                                    task.worker()
                                            .filter(restarted)
                                            .ifPresent(
                                                    worker ->
                                                            blockedOn(worker)
                                                                    .add(
                                                                            id,
                                                                            blockedUntil(
                                                                                    nowMilliseconds,
                                                                                    task))));
        }
    }

    private long blockedUntil(long nowMilliseconds, TaskState task) {
        return nowMilliseconds
                + settings.outlasting(
                        task.isStartedByNextLife()
                                ? settings.longestLeaseMilliseconds()
                                : settings.leaseMilliseconds());
    }

    Optional<WorkerSession> of(WorkerId worker) {
        return Optional.ofNullable(sessions.get(worker));
    }

    /** Returns the session of a worker incarnation. */
    Optional<WorkerSession> of(WorkerIncarnation incarnation) {
        return of(incarnation.worker())
                .filter(session -> session.worker().incarnation().equals(incarnation));
    }

    Collection<WorkerSession> all() {
        return sessions.values();
    }

    int countUsable(long nowMilliseconds) {
        int usable = 0;
        for (WorkerSession session : sessions.values()) {
            if (session.isUsable(nowMilliseconds)) {
                usable++;
            }
        }
        return usable;
    }

    /** Handles the enrollment of a worker. */
    void onEnrolled(long nowMilliseconds, FleetWorker worker) {
        WorkerSession session = sessions.get(worker.id());
        if (session == null) {
            openSession(worker, SessionStart.ENROLLMENT, nowMilliseconds);
        } else if (session.worker().incarnation().equals(worker.incarnation())) {
            session.update(worker);
        } else if (worker.incarnation().startedEpochMilliseconds()
                > session.worker().incarnation().startedEpochMilliseconds()) {
            blockTasks(nowMilliseconds, session);
            laterLives.merge(worker.id(), 1L, Long::sum);
            openSession(worker, SessionStart.ENROLLMENT, nowMilliseconds);
        }
    }

    void onDismissed(long nowMilliseconds, WorkerIncarnation incarnation) {
        WorkerSession session = of(incarnation).orElse(null);
        if (session == null) {
            return;
        }
        sessions.remove(incarnation.worker());
        // A late answer may let the ended session fence the next life with the token of that.
        laterLives.merge(incarnation.worker(), 1L, Long::sum);
        if (session.isReplaced()) {
            blockTasks(nowMilliseconds, session);
        }
    }

    /** Blocks the tasks of an ended incarnation whose starts may have reached the next one. */
    private void blockTasks(long nowMilliseconds, WorkerSession ended) {
        WorkerId worker = ended.worker().id();
        BlockedTasks blocked = blockedOn(worker);
        long until = nowMilliseconds + settings.outlasting(settings.leaseMilliseconds());
        Set.copyOf(blocked.untilByTask().keySet()).forEach(task -> blocked.add(task, until));
        blockTasksEndedUnseen(nowMilliseconds, worker::equals);
        // A list of the next incarnation may have come after the evidence that is in the ledger.
        long longest = nowMilliseconds + settings.outlasting(settings.longestLeaseMilliseconds());
        ended.nextLifeEvidence().certain().forEach(task -> blocked.add(task, longest));
    }

    private BlockedTasks blockedOn(WorkerId worker) {
        return blockedTasks.computeIfAbsent(worker, id -> new BlockedTasks());
    }

    /** Returns tasks that must not start because a run of them may exist on some worker. */
    Set<WorkflowTaskId> blockedTasks() {
        Set<WorkflowTaskId> tasks = new HashSet<>();
        blockedTasks.values().forEach(blocked -> tasks.addAll(blocked.untilByTask().keySet()));
        sessions.values().forEach(session -> session.addUnknownTasks(tasks));
        return tasks;
    }

    void tick(long nowMilliseconds, LeaderOutput output) {
        blockedTasks
                .entrySet()
                .removeIf(blocked -> isOver(nowMilliseconds, blocked.getKey(), blocked.getValue()));
        calls.overdue(nowMilliseconds)
                .forEach(id -> onOutcome(nowMilliseconds, new CallOutcome.Unanswered(id), output));
        sessions.values().forEach(session -> session.tick(nowMilliseconds, output));
    }

    /**
     * Returns whether no task is blocked any more, since the worker has listed or was waited for.
     */
    private boolean isOver(long nowMilliseconds, WorkerId worker, BlockedTasks blocked) {
        WorkerSession session = sessions.get(worker);
        if (session != null && session.hasList()) {
            return true;
        }
        return (session == null || session.isSettled(nowMilliseconds))
                && blocked.isOver(nowMilliseconds);
    }

    void onOutcome(long nowMilliseconds, CallOutcome outcome, LeaderOutput output) {
        calls.remove(outcome.id())
                .ifPresent(
                        openCall -> {
                            openCall.session()
                                    .onOutcome(
                                            nowMilliseconds,
                                            openCall.call(),
                                            openCall.sentAt(),
                                            outcome,
                                            output);
                            of(openCall.session().worker().id())
                                    .filter(present -> present == openCall.session())
                                    .ifPresent(session -> session.tick(nowMilliseconds, output));
                            if (firstLists.onOutcome(openCall.session())) {
                                requestNextLists(nowMilliseconds, output);
                            }
                        });
    }

    /** Requests the first list of further workers. */
    private void requestNextLists(long nowMilliseconds, LeaderOutput output) {
        for (WorkerSession session : sessions.values()) {
            if (!firstLists.mayAsk(nowMilliseconds)) {
                return;
            }
            if (!session.hasList()) {
                session.tick(nowMilliseconds, output);
            }
        }
    }

    private void openSession(FleetWorker worker, SessionStart start, long nowMilliseconds) {
        sessions.put(
                worker.id(),
                new WorkerSession(
                        settings,
                        ledger,
                        start,
                        calls,
                        firstLists,
                        tokenOf(laterLives.getOrDefault(worker.id(), 0L)),
                        tokenOf(laterLives.getOrDefault(worker.id(), 0L) + 1),
                        worker,
                        log,
                        nowMilliseconds));
    }

    /**
     * Returns the token of a life of a worker. It is higher than those of earlier lives, so that
     * late copies of calls to them take no effect once this life has been called.
     */
    private long tokenOf(long life) {
        return fencingToken + Math.min(life, WorkflowDuty.FENCING_TOKENS - 1);
    }
}
