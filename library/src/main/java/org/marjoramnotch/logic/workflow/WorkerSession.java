package org.marjoramnotch.logic.workflow;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.model.command.EndRuns;
import org.marjoramnotch.model.command.EnrollWorker;
import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.order.CallOutcome;
import org.marjoramnotch.model.order.RunStatus;
import org.marjoramnotch.model.order.WorkerCall;
import org.marjoramnotch.model.workflow.NextLifeEvidence;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.RunPlacement;
import org.marjoramnotch.model.workflow.WorkflowTaskId;

/**
 * A leader's communication with one worker incarnation in one term of leadership.
 *
 * <p>The first list call raises the worker's fencing token, so that no order of an earlier leader
 * takes effect afterwards; no run is started before it. An unanswered start order is sent again
 * with the same run number until the worker answers or its lease is over; a copy that is executed
 * late is the same run. A run counts as not started only if a list that was requested after the
 * answer to the last order for the run shows neither the run nor its end.
 */
final class WorkerSession {
    private static final int UNUSABLE_AFTER_UNANSWERED_CALLS = 2;

    private final WorkflowSettings settings;
    private final WorkerLease lease;
    private final InheritedLeases inheritedLeases;
    private final IncarnationState incarnation;
    private final RunOrderTracker orders;
    private final WorkerHealth health;
    private final RunListPoller lists;
    private final ResponseTracker answers;
    private final RunListCalls listCalls;
    private final WorkerOutcomeHandler outcomes;
    private FleetWorker worker;
    private long lastHeardAt;
    private OptionalLong reportSequence = OptionalLong.empty();

    WorkerSession(
            WorkflowSettings settings,
            WorkflowLedger ledger,
            SessionStart start,
            CallRegistry calls,
            FirstListLimiter firstLists,
            long fencingToken,
            long nextLifeToken,
            FleetWorker worker,
            RunLog log,
            long nowMilliseconds) {
        this.settings = settings;
        this.worker = worker;
        this.lease = start.lease(settings, ledger, worker.incarnation(), nowMilliseconds);
        this.inheritedLeases = new InheritedLeases(ledger);
        this.incarnation = new IncarnationState(lease);
        this.health = new WorkerHealth(worker.id());
        this.orders =
                new RunOrderTracker(
                        settings, ledger, calls, fencingToken, this, lease, health, log);
        this.lists =
                new RunListPoller(
                        ledger, worker.incarnation(), orders, health, log, nowMilliseconds);
        this.answers = new ResponseTracker(worker.id(), log, nowMilliseconds);
        this.listCalls =
                new RunListCalls(
                        settings,
                        calls,
                        firstLists,
                        fencingToken,
                        nextLifeToken,
                        this,
                        incarnation,
                        lists,
                        lease,
                        answers);
        this.outcomes =
                new WorkerOutcomeHandler(
                        worker.incarnation(),
                        lease,
                        incarnation,
                        orders,
                        health,
                        lists,
                        answers,
                        listCalls);
        this.lastHeardAt = nowMilliseconds;
    }

    FleetWorker worker() {
        return worker;
    }

    void update(FleetWorker updated) {
        worker = updated;
    }

    /** Handles a report; returns whether it is newer than all earlier ones. */
    boolean onReport(long sequence, long nowMilliseconds) {
        if (reportSequence.isPresent() && sequence <= reportSequence.getAsLong()) {
            return false;
        }
        reportSequence = OptionalLong.of(sequence);
        lastHeardAt = nowMilliseconds;
        return true;
    }

    /** Returns the highest number of a report to this leader; empty if there was none. */
    OptionalLong reportSequence() {
        return reportSequence;
    }

    /** Returns whether runs may be started on this worker. */
    boolean isUsable(long nowMilliseconds) {
        return isAnswering(nowMilliseconds)
                && incarnation.acceptsStarts()
                && !worker.draining()
                && !inheritedLeases.isLong(worker.incarnation())
                && lists.unknownRuns().isEmpty()
                && !health.isQuarantined(nowMilliseconds);
    }

    private boolean isAnswering(long nowMilliseconds) {
        return lists.hasList()
                && answers.consecutiveUnanswered() < UNUSABLE_AFTER_UNANSWERED_CALLS
                && silenceMilliseconds(nowMilliseconds) < settings.reportTimeoutMilliseconds();
    }

    /** Returns whether the runs on this worker are known, or none can be running there. */
    boolean isSettled(long nowMilliseconds) {
        return lists.hasList() || incarnation.canRunNothing(nowMilliseconds);
    }

    /** Returns whether the worker has sent a list in this term since its lease last expired. */
    boolean hasList() {
        return lists.hasList();
    }

    boolean isReplaced() {
        return incarnation.isReplaced();
    }

    /** Returns what is newly known of a lease that the worker may have inherited. */
    Optional<EnrollWorker> recordInheritedLease(long nowMilliseconds) {
        return inheritedLeases.record(nowMilliseconds, worker, lease);
    }

    /** Sends no more starts, since the next incarnation is about to enroll and would get them. */
    void expectSuccessor() {
        incarnation.onSuccessorReported();
        orders.endStarts();
    }

    /**
     * Stops all runs of a worker that is about to end, starts none and renews its lease no more, so
     * that they end in a list or with the lease whether or not the worker learns that it may end.
     */
    void release(long nowMilliseconds, LeaderOutput output) {
        incarnation.onReleased();
        orders.endStarts();
        if (incarnation.acceptsOrders()) {
            lists.stopAll(nowMilliseconds, output);
        }
    }

    boolean isReleased() {
        return incarnation.isReleased();
    }

    /** Returns whether certainly nothing runs on a released worker or can still start there. */
    boolean isVacated(long nowMilliseconds) {
        return isReleased()
                && isSettled(nowMilliseconds)
                && lists.runCount() == 0
                && lists.unknownRuns().isEmpty()
                && !orders.hasOrdersInFlight();
    }

    boolean hasOrdersInFlight() {
        return orders.hasOrdersInFlight();
    }

    /** Returns what the worker's next incarnation may have carried out of the starts for this. */
    NextLifeEvidence nextLifeEvidence() {
        return incarnation.mayNextHaveReceivedOrders()
                ? lists.nextLife()
                        .evidence(run -> lists.status(run).isPresent(), lease.hasOpenGrants())
                : new NextLifeEvidence(List.of(), List.of(), lease.hasOpenGrants());
    }

    /** Adds the tasks of runs that the worker lists but the ledger does not have on it. */
    void addUnknownTasks(Set<WorkflowTaskId> tasks) {
        lists.unknownRuns().forEach(run -> tasks.add(run.task()));
    }

    /** Returns whether runs on this worker failed recently. */
    boolean hasRecentFailures(long nowMilliseconds) {
        return health.hasRecentFailures(nowMilliseconds);
    }

    /** Returns whether a recent list shows a standing task at work and it was not told to stop. */
    boolean isAtWork(long nowMilliseconds, RunId run) {
        return isAnswering(nowMilliseconds)
                && lists.status(run).filter(RunStatus::isAtWork).isPresent()
                && !orders.evidence(run).stopRequested();
    }

    /** Returns the time since the last contact with the worker. */
    long silenceMilliseconds(long nowMilliseconds) {
        return nowMilliseconds - lastHeardAt;
    }

    /** Sends the start order of a committed run. */
    void start(
            long nowMilliseconds,
            RunPlacement placement,
            Optional<String> ticket,
            LeaderOutput output) {
        orders.start(nowMilliseconds, placement, ticket, output);
        lists.onStart(nowMilliseconds);
    }

    void stop(long nowMilliseconds, RunId run, LeaderOutput output) {
        if (incarnation.acceptsOrders()) {
            orders.stop(nowMilliseconds, run, output);
        }
    }

    /** Returns what is known of a run; empty if it is not, or a stop has been requested. */
    Optional<ListedRuns.ListedRun> unstopped(RunId run) {
        return lists.unstopped(run);
    }

    /** Sends due orders and list calls, and ends the runs if the lease of the worker is over. */
    void tick(long nowMilliseconds, LeaderOutput output) {
        if (!incarnation.acceptsOrders()) {
            return;
        }
        orders.sendDue(
                nowMilliseconds,
                answers.consecutiveUnanswered() < UNUSABLE_AFTER_UNANSWERED_CALLS,
                output);
        listCalls.sendIfDue(nowMilliseconds, output);
        if (incarnation.areRunsOver(nowMilliseconds, listCalls.isReporting())
                && !lists.isAwaitingCommit()) {
            lists.lapseAll(lease.evidence(nowMilliseconds), output);
        }
    }

    /** Handles the outcome of a call. */
    void onOutcome(
            long nowMilliseconds,
            WorkerCall call,
            long sentAt,
            CallOutcome outcome,
            LeaderOutput output) {
        if (outcomes.onOutcome(nowMilliseconds, call, sentAt, outcome, output)) {
            lastHeardAt = nowMilliseconds;
        }
    }

    /** Handles the application of run ends of this worker, which the worker may now discard. */
    void onEndsApplied(long nowMilliseconds, EndRuns applied, LeaderOutput output) {
        lists.onEndsApplied(nowMilliseconds, applied, output);
    }
}
