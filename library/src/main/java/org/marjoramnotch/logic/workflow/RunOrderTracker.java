package org.marjoramnotch.logic.workflow;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.model.order.RejectionReason;
import org.marjoramnotch.model.order.StartRun;
import org.marjoramnotch.model.order.StopRun;
import org.marjoramnotch.model.order.WorkerCall;
import org.marjoramnotch.model.workflow.RunEnd;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.RunOutcome;
import org.marjoramnotch.model.workflow.RunPlacement;
import org.marjoramnotch.model.workflow.WorkflowTaskId;

/** Sends and tracks the orders to one worker incarnation for runs that have not ended yet. */
final class RunOrderTracker {
    private static final int MAXIMUM_DEFERRED_STARTS = 3;

    private final WorkflowSettings settings;
    private final WorkflowLedger ledger;
    private final CallRegistry calls;
    private final long fencingToken;
    private final WorkerSession session;
    private final WorkerLease lease;
    private final WorkerHealth health;
    private final RunLog log;
    private final Map<RunId, RunOrder> orders = new LinkedHashMap<>();
    private boolean startsEnded;

    RunOrderTracker(
            WorkflowSettings settings,
            WorkflowLedger ledger,
            CallRegistry calls,
            long fencingToken,
            WorkerSession session,
            WorkerLease lease,
            WorkerHealth health,
            RunLog log) {
        this.settings = settings;
        this.ledger = ledger;
        this.calls = calls;
        this.fencingToken = fencingToken;
        this.session = session;
        this.lease = lease;
        this.health = health;
        this.log = log;
    }

    /** Returns whether any order is in flight. */
    boolean hasOrdersInFlight() {
        return orders.values().stream().anyMatch(RunOrder::isInFlight);
    }

    /**
     * Returns tasks whose start may have been executed by another incarnation of the worker; an
     * answer does not identify the incarnation that sent it.
     *
     * @param shown whether a list of the intended incarnation showed a run
     */
    Set<WorkflowTaskId> possiblyStartedTasks(Predicate<RunId> shown) {
        return orders.values().stream()
                .filter(
                        order ->
                                order.wasUnanswered()
                                        || order.isInFlight()
                                        || !shown.test(order.placement().run()))
                .map(order -> order.placement().run().task())
                .collect(Collectors.toSet());
    }

    /**
     * Returns whether a list shows the run if the worker has it or may still begin it.
     *
     * @param listCall the number of the call that requested the list
     * @param workerClock the worker's clock in the list
     */
    boolean isVisibleInList(long listCall, long workerClock, RunId run) {
        RunOrder order = orders.get(run);
        // Without an order in this term, the run belongs to an earlier leader, which is fenced off.
        return order == null
                || order.isVisibleInListOf(listCall)
                || order.isStartExpired(workerClock);
    }

    /** Returns what is known about the orders for a run. */
    OrderEvidence evidence(RunId run) {
        return findOrder(run).map(RunOrder::evidence).orElse(OrderEvidence.NONE);
    }

    /** Handles the runs in the list that a call requested. */
    void onList(long listCall, Set<RunId> listed) {
        orders.forEach(
                (run, order) -> {
                    if (listed.contains(run)) {
                        order.onListed(calls.lastId());
                    } else {
                        order.onAbsent(listCall);
                    }
                });
    }

    void retain(Predicate<RunId> kept) {
        orders.keySet().removeIf(run -> !kept.test(run));
    }

    void clear() {
        orders.clear();
    }

    /** Sends no more starts. */
    void endStarts() {
        startsEnded = true;
    }

    /** Sends the start of a run. */
    void start(
            long nowMilliseconds,
            RunPlacement placement,
            Optional<String> ticket,
            LeaderOutput output) {
        if (startsEnded) {
            return;
        }
        RunOrder order = new RunOrder(placement, ticket);
        orders.put(placement.run(), order);
        sendStart(nowMilliseconds, order, output);
    }

    /** Sends the stop of a run. */
    void stop(long nowMilliseconds, RunId run, LeaderOutput output) {
        RunOrder order =
                orders.computeIfAbsent(
                        run,
                        key ->
                                new RunOrder(
                                        new RunPlacement(key, session.worker().incarnation(), ""),
                                        Optional.empty()));
        order.requestStop();
        sendStopIfDue(nowMilliseconds, order, output);
    }

    /** Sends the stop of a run unless it was sent before. */
    void stopOnce(long nowMilliseconds, RunId run, LeaderOutput output) {
        RunOrder order = orders.get(run);
        if (order == null || !order.isStopRequested()) {
            stop(nowMilliseconds, run, output);
        }
    }

    /** Sends due orders, such as those that were not answered or were rejected temporarily. */
    void sendDue(long nowMilliseconds, boolean includeStarts, LeaderOutput output) {
        for (RunOrder order : List.copyOf(orders.values())) {
            sendStopIfDue(nowMilliseconds, order, output);
            if (includeStarts && !startsEnded && order.isStartDue(nowMilliseconds)) {
                sendStartAgain(nowMilliseconds, order, output);
            }
        }
    }

    void onUnanswered(long nowMilliseconds, WorkerCall call) {
        long retryAt = nowMilliseconds + settings.orderRetryMilliseconds();
        if (call instanceof StartRun start) {
            findOrder(start.run()).ifPresent(order -> order.onStartUnanswered(retryAt));
        } else if (call instanceof StopRun stop) {
            findOrder(stop.run()).ifPresent(order -> order.onStopUnanswered(retryAt));
        }
    }

    /** Handles an answer after which the order is not sent again. */
    void onAnswered(WorkerCall call) {
        if (call instanceof StartRun start) {
            findOrder(start.run()).ifPresent(order -> order.onStartAnswered(calls.lastId()));
        } else if (call instanceof StopRun stop) {
            findOrder(stop.run()).ifPresent(order -> order.onStopAnswered(calls.lastId()));
        }
    }

    /** Handles a rejection; returns the end of the run if it has certainly not started. */
    Optional<RunEnd> onRejected(
            long nowMilliseconds, WorkerCall call, RejectionReason reason, LeaderOutput output) {
        if (reason == RejectionReason.UNHEALTHY && call instanceof StopRun) {
            onUnanswered(nowMilliseconds, call);
        } else if (call instanceof StopRun stop) {
            findOrder(stop.run()).ifPresent(order -> order.onStopAnswered(calls.lastId()));
        }
        return call instanceof StartRun start
                ? findOrder(start.run())
                        .flatMap(order -> onRejected(nowMilliseconds, order, reason, output))
                : Optional.empty();
    }

    private Optional<RunEnd> onRejected(
            long nowMilliseconds, RunOrder order, RejectionReason reason, LeaderOutput output) {
        long retryAt = nowMilliseconds + settings.orderRetryMilliseconds();
        RunId run = order.placement().run();
        if (reason == RejectionReason.SUPERSEDED) {
            order.onStartAnswered(calls.lastId());
            return Optional.empty();
        }
        if (reason == RejectionReason.LEASE_OVER) {
            order.onStartUnanswered(retryAt);
            return Optional.empty();
        }
        if (reason == RejectionReason.UNHEALTHY
                && order.onStartDeferred(retryAt) < MAXIMUM_DEFERRED_STARTS) {
            return Optional.empty();
        }
        order.onStartAnswered(calls.lastId());
        if (order.wasUnanswered()) {
            // An unanswered copy may have been executed before this one was rejected.
            stop(nowMilliseconds, run, output);
            return Optional.empty();
        }
        return Optional.of(new RunEnd(run, RunOutcome.NOT_STARTED, ""));
    }

    private Optional<RunOrder> findOrder(RunId run) {
        return Optional.ofNullable(orders.get(run));
    }

    /** Sends a start again, or a stop once the worker has left the start unanswered for long. */
    private void sendStartAgain(long nowMilliseconds, RunOrder order, LeaderOutput output) {
        if (!order.isStartGivenUp(nowMilliseconds)) {
            sendStart(nowMilliseconds, order, output);
            return;
        }
        RunId run = order.placement().run();
        health.onStartGivenUp(nowMilliseconds);
        log.onStartGivenUp(run, session.worker(), order.ageMilliseconds(nowMilliseconds), output);
        stop(nowMilliseconds, run, output);
    }

    private void sendStart(long nowMilliseconds, RunOrder order, LeaderOutput output) {
        RunPlacement placement = order.placement();
        Optional<WorkflowEntry> workflow =
                ledger.workflow(placement.run().task().step().workflow());
        if (workflow.isEmpty()) {
            return;
        }
        if (workflow.get().state().isFinal()) {
            stop(nowMilliseconds, placement.run(), output);
            return;
        }
        if (ledger.evacuations().isEvacuated(session.worker())) {
            // An earlier copy of the start may have been executed.
            log.onStartWithheld(placement.run(), session.worker(), order.evidence(), output);
            stop(nowMilliseconds, placement.run(), output);
            return;
        }
        OptionalLong until = lease.grant(nowMilliseconds);
        if (until.isEmpty()) {
            return;
        }
        long call = calls.nextId();
        order.onStartSent(nowMilliseconds, call, until.getAsLong());
        calls.send(
                nowMilliseconds,
                session,
                new StartRun(
                        call,
                        session.worker(),
                        fencingToken,
                        placement.run(),
                        workflow.get().workflow().payload(),
                        until.getAsLong(),
                        placement.checkpoint(),
                        order.ticket()),
                output);
    }

    private void sendStopIfDue(long nowMilliseconds, RunOrder order, LeaderOutput output) {
        if (order.isStopDue(nowMilliseconds)) {
            order.onStopSent();
            calls.send(
                    nowMilliseconds,
                    session,
                    new StopRun(
                            calls.nextId(),
                            session.worker(),
                            fencingToken,
                            order.placement().run()),
                    output);
        }
    }
}
