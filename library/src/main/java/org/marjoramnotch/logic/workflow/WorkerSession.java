package org.marjoramnotch.logic.workflow;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.order.CallOutcome;
import org.marjoramnotch.model.order.ListRuns;
import org.marjoramnotch.model.order.RejectionReason;
import org.marjoramnotch.model.order.StartRun;
import org.marjoramnotch.model.order.WorkerCall;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.RunPlacement;
import org.marjoramnotch.model.workflow.WorkflowTaskId;

/**
 * What a leader knows of one life of a worker in its term, and the orders it gives there.
 *
 * <p>The first list raises the worker's fencing token, so that no order of an earlier leader takes
 * effect afterwards; nothing starts before. A start without an answer is sent again under the same
 * number until the worker answers or its lease is over: a copy that is carried out late is the same
 * run. A run counts as not started only when a list that was asked for after the last order about
 * it was answered shows neither the run nor its end.
 */
final class WorkerSession {
    private static final int MAXIMUM_UNANSWERED_CALLS = 2;

    private final WorkflowSettings settings;
    private final CallRegistry calls;
    private final FirstListLimiter firstLists;
    private final long fencingToken;
    private final WorkerLease lease;
    private final RunOrderTracker orders;
    private final WorkerHealth health;
    private final RunListPoller lists;
    private final ResponseTracker answers;
    private FleetWorker worker;
    private boolean fenced;
    private boolean replaced;
    private long lastHeardAt;
    private boolean listRefused;
    private long reportSequence = -1;

    WorkerSession(
            WorkflowSettings settings,
            WorkflowLedger ledger,
            CallRegistry calls,
            FirstListLimiter contacts,
            long fencingToken,
            FleetWorker worker,
            long nowMilliseconds) {
        this.settings = settings;
        this.calls = calls;
        this.firstLists = contacts;
        this.fencingToken = fencingToken;
        this.worker = worker;
        this.lease = new WorkerLease(settings, nowMilliseconds);
        this.orders = new RunOrderTracker(settings, ledger, calls, fencingToken, this, lease);
        this.health = new WorkerHealth(worker.id());
        this.lists =
                new RunListPoller(ledger, worker.incarnation(), orders, health, nowMilliseconds);
        this.answers = new ResponseTracker(worker.id(), nowMilliseconds);
        this.lastHeardAt = nowMilliseconds;
    }

    FleetWorker worker() {
        return worker;
    }

    void update(FleetWorker newCondition) {
        worker = newCondition;
    }

    /** Notes a report; returns whether it is newer than those before it. */
    boolean onReport(long sequence, long nowMilliseconds) {
        if (sequence <= reportSequence) {
            return false;
        }
        reportSequence = sequence;
        lastHeardAt = nowMilliseconds;
        return true;
    }

    /** Tells whether runs may start here. */
    boolean isUsable(long nowMilliseconds) {
        return lists.hasList()
                && !fenced
                && !replaced
                && !worker.draining()
                && lists.unknownRuns().isEmpty()
                && answers.consecutiveUnanswered() < MAXIMUM_UNANSWERED_CALLS
                && !health.isQuarantined(nowMilliseconds)
                && silenceMilliseconds(nowMilliseconds) < settings.reportTimeoutMilliseconds();
    }

    /** Tells whether it is known what runs here, or nothing can run here any more. */
    boolean isSettled(long nowMilliseconds) {
        return lists.hasList() || lease.isOver(nowMilliseconds);
    }

    /** Tells whether the worker has answered with a list in this term. */
    boolean hasList() {
        return lists.hasList();
    }

    /** Tells whether the worker has ended, as another life at its address shows. */
    boolean isReplaced() {
        return replaced;
    }

    /** Tells whether any order is on its way. */
    boolean hasOutstandingOrders() {
        return orders.hasOutstanding();
    }

    /** Returns tasks whose start may have been carried out by another life of the worker. */
    Set<WorkflowTaskId> possiblyStartedTasks() {
        return orders.possiblyStartedTasks(run -> lists.row(run).isPresent());
    }

    /** Adds the tasks of runs that the worker lists and the ledger does not know. */
    void addUnknownTasks(Set<WorkflowTaskId> tasks) {
        lists.unknownRuns().forEach(run -> tasks.add(run.task()));
    }

    /** Tells whether the last runs here failed. */
    boolean hasRecentFailures(long nowMilliseconds) {
        return health.hasRecentFailures(nowMilliseconds);
    }

    /** Returns how long nothing was heard of the worker. */
    long silenceMilliseconds(long nowMilliseconds) {
        return nowMilliseconds - lastHeardAt;
    }

    /** Sends the start of a run that was committed. */
    void start(
            long nowMilliseconds,
            RunPlacement placement,
            Optional<String> ticket,
            LeaderOutput output) {
        orders.start(nowMilliseconds, placement, ticket, output);
        lists.onStart(nowMilliseconds);
    }

    /** Stops a run; its end shows in the list. */
    void stop(long nowMilliseconds, RunId run, LeaderOutput output) {
        if (!fenced && !replaced) {
            orders.stop(nowMilliseconds, run, output);
        }
    }

    /** Sends what is due and gives up runs whose lease is over. */
    void tick(long nowMilliseconds, LeaderOutput output) {
        if (fenced || replaced) {
            return;
        }
        orders.sendDue(
                nowMilliseconds,
                answers.consecutiveUnanswered() < MAXIMUM_UNANSWERED_CALLS,
                output);
        if (lists.isDue(nowMilliseconds) && (hasList() || firstLists.mayAsk(nowMilliseconds))) {
            sendList(nowMilliseconds, output);
        }
        lapseIfOver(nowMilliseconds, output);
    }

    /** Takes the outcome of a call. */
    void onOutcome(
            long nowMilliseconds,
            WorkerCall call,
            long sentAt,
            CallOutcome outcome,
            LeaderOutput output) {
        if (call instanceof ListRuns) {
            lists.onOutcome();
        }
        if (outcome instanceof CallOutcome.Unanswered) {
            onUnanswered(nowMilliseconds, call, output);
            return;
        }
        answers.onAnswer(nowMilliseconds, call, lists.runCount(), output);
        lastHeardAt = nowMilliseconds;
        if (outcome instanceof CallOutcome.Listed list) {
            lease.onAnswer(sentAt, nowMilliseconds, list.workerClockMilliseconds());
            onList(nowMilliseconds, (ListRuns) call, sentAt, list, output);
        } else if (outcome instanceof CallOutcome.Accepted accepted) {
            learnClock(sentAt, nowMilliseconds, accepted.workerClockMilliseconds());
            orders.onAccepted(nowMilliseconds, call);
        } else if (outcome instanceof CallOutcome.Rejected rejected) {
            learnClock(sentAt, nowMilliseconds, rejected.workerClockMilliseconds());
            onRejected(nowMilliseconds, call, rejected.reason(), output);
        }
    }

    /** Is told that ends of this worker were applied; they may be forgotten there now. */
    void onEndsApplied(long nowMilliseconds) {
        lists.onEndsApplied(nowMilliseconds);
    }

    private void learnClock(long sentAt, long nowMilliseconds, OptionalLong workerClock) {
        workerClock.ifPresent(clock -> lease.onAnswer(sentAt, nowMilliseconds, clock));
    }

    private void sendList(long nowMilliseconds, LeaderOutput output) {
        boolean settled = lists.mayLongPoll() && isReporting();
        // A worker that tells nothing is only asked, so that its lease can run out.
        OptionalLong until = isReporting() ? lease.grant(nowMilliseconds) : OptionalLong.empty();
        long wait = settled ? settings.listWaitMilliseconds() : 0;
        lists.onSent();
        if (!hasList()) {
            firstLists.onSent(this, nowMilliseconds);
        }
        calls.send(
                nowMilliseconds,
                this,
                new ListRuns(
                        calls.nextId(), worker, fencingToken, lists.acknowledged(), until, wait),
                output);
    }

    private void onUnanswered(long nowMilliseconds, WorkerCall call, LeaderOutput output) {
        answers.onUnanswered(nowMilliseconds, call, lists.runCount(), output);
        orders.onUnanswered(nowMilliseconds, call);
        if (call instanceof ListRuns) {
            lists.onUnanswered(nowMilliseconds);
        }
    }

    private void onRejected(
            long nowMilliseconds, WorkerCall call, RejectionReason reason, LeaderOutput output) {
        output.logDecision(
                DecisionLogEntry.of(
                        "order_rejected",
                        "worker",
                        worker.id(),
                        "call",
                        call.getClass().getSimpleName(),
                        "run",
                        call instanceof StartRun start ? start.run() : "none",
                        "reason",
                        reason));
        if (reason == RejectionReason.FENCED) {
            fenced = true;
            return;
        }
        if (reason == RejectionReason.OTHER_INCARNATION) {
            replaced = true;
            return;
        }
        if (reason == RejectionReason.UNHEALTHY) {
            health.quarantine(nowMilliseconds, "refuses_calls", output);
        }
        if (call instanceof ListRuns) {
            listRefused = true;
            lists.onRefused(nowMilliseconds);
        }
        orders.onRejected(nowMilliseconds, call, reason, output)
                .ifPresent(end -> lists.proposeEnds(List.of(end), output));
    }

    private void onList(
            long nowMilliseconds,
            ListRuns call,
            long sentAt,
            CallOutcome.Listed list,
            LeaderOutput output) {
        OptionalLong started = list.startedEpochMilliseconds();
        if (started.isPresent()
                && started.getAsLong() != worker.incarnation().startedEpochMilliseconds()) {
            replaced = true;
            return;
        }
        listRefused = false;
        lists.onList(nowMilliseconds, call, sentAt, list, output);
    }

    private void lapseIfOver(long nowMilliseconds, LeaderOutput output) {
        if (!isReporting() && !lists.isAwaitingCommit() && lease.isOver(nowMilliseconds)) {
            lists.lapseAll(output);
        }
    }

    private boolean isReporting() {
        return answers.isResponsive() && !listRefused;
    }
}
