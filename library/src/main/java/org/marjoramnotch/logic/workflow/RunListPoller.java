package org.marjoramnotch.logic.workflow;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.model.command.EndRuns;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.order.CallOutcome;
import org.marjoramnotch.model.order.ListRuns;
import org.marjoramnotch.model.order.RunStatus;
import org.marjoramnotch.model.order.WorkerCall;
import org.marjoramnotch.model.workflow.RunEnd;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.RunOutcome;
import org.marjoramnotch.model.workflow.StepId;

/** Requests the run list of one worker incarnation when it may have changed, and acts on it. */
final class RunListPoller {
    /** Delay before the next list call to a worker that did not answer or rejected the call. */
    private static final long RETRY_MILLISECONDS = 250;

    /**
     * Delay after an unanswered call to a worker without runs; longer, since each call has a cost.
     */
    private static final long IDLE_RETRY_MILLISECONDS = 1_000;

    /** Delay before the last run ends of an idle worker are acknowledged; well within 4 s. */
    private static final long IDLE_ACKNOWLEDGEMENT_MILLISECONDS = 1_000;

    private final WorkflowLedger ledger;
    private final WorkerIncarnation worker;
    private final RunOrderTracker orders;
    private final WorkerHealth health;
    private final RunListComparator comparator;
    private final RunListLog listLog;
    private final EndProposer proposer;
    private final NextLifeRuns nextLife;
    private final ListedRuns listedRuns = new ListedRuns();
    private final Set<RunId> unknownRuns = new HashSet<>();
    private boolean listed;
    private boolean listInFlight;
    private long nextListAt;
    private long idleSince;
    private long acknowledged;
    private long acknowledgedAtWorker;

    RunListPoller(
            WorkflowLedger ledger,
            WorkerIncarnation worker,
            RunOrderTracker orders,
            WorkerHealth health,
            RunLog log,
            long nowMilliseconds) {
        this.ledger = ledger;
        this.worker = worker;
        this.orders = orders;
        this.health = health;
        this.comparator = new RunListComparator(ledger, orders);
        this.listLog = new RunListLog(ledger, worker, log);
        this.proposer = new EndProposer(worker, orders, log, listLog);
        this.nextLife = new NextLifeRuns(ledger, worker, orders, comparator, proposer);
        this.idleSince = nowMilliseconds;
    }

    /** Returns whether the worker has sent a list in this term since its lease last expired. */
    boolean hasList() {
        return listed;
    }

    /** Returns runs that the worker lists but the ledger does not have on it. */
    Set<RunId> unknownRuns() {
        return unknownRuns;
    }

    /** Returns the status of a run in the latest list. */
    Optional<RunStatus> status(RunId run) {
        return listedRuns.find(run).map(ListedRuns.ListedRun::status);
    }

    /**
     * Returns a run in the latest list, or without progress if its start was answered and no list
     * has come since; empty if a stop of it has been requested.
     */
    Optional<ListedRuns.ListedRun> unstopped(RunId run) {
        OrderEvidence evidence = orders.evidence(run);
        if (evidence.stopRequested()) {
            return Optional.empty();
        }
        return listedRuns
                .find(run)
                .or(
                        () ->
                                evidence.settledAfterCall().isPresent()
                                        ? Optional.of(ListedRuns.ListedRun.withoutProgress(run))
                                        : Optional.empty());
    }

    /** Returns the number up to which the worker may discard run ends. */
    long acknowledged() {
        return acknowledged;
    }

    /** Returns whether any proposed run ends are not applied yet. */
    boolean isAwaitingCommit() {
        return proposer.isAwaitingCommit();
    }

    /**
     * Returns whether the worker may delay the list until a run ends instead of answering at once.
     */
    boolean mayLongPoll() {
        return listed && unknownRuns.isEmpty() && hasRuns();
    }

    /** Returns whether no list is awaited, nor the result of one. */
    boolean mayAsk(long nowMilliseconds) {
        return !listInFlight && !proposer.isAwaitingCommit() && nowMilliseconds >= nextListAt;
    }

    boolean isDue(long nowMilliseconds) {
        if (!mayAsk(nowMilliseconds)) {
            return false;
        }
        boolean acknowledgementDue =
                acknowledged > acknowledgedAtWorker
                        && nowMilliseconds - idleSince >= IDLE_ACKNOWLEDGEMENT_MILLISECONDS;
        return !listed || hasRuns() || !unknownRuns.isEmpty() || acknowledgementDue;
    }

    void onSent() {
        listInFlight = true;
    }

    void onOutcome() {
        listInFlight = false;
    }

    void onStart(long nowMilliseconds) {
        nextListAt = Math.min(nextListAt, nowMilliseconds);
        idleSince = nowMilliseconds;
    }

    void onRejected(long nowMilliseconds) {
        nextListAt = nowMilliseconds + RETRY_MILLISECONDS;
    }

    void onUnanswered(long nowMilliseconds) {
        nextListAt = nowMilliseconds + (hasRuns() ? RETRY_MILLISECONDS : IDLE_RETRY_MILLISECONDS);
    }

    /**
     * Handles the application of run ends of this worker, which it may discard if it listed them.
     */
    void onEndsApplied(long nowMilliseconds, EndRuns applied, LeaderOutput output) {
        acknowledge(proposer.onApplied(applied), output);
        forgetEndedOrders();
        idleSince = nowMilliseconds;
        if (hasRuns()) {
            nextListAt = nowMilliseconds;
        }
    }

    /** Handles a list sent by the worker. */
    void onList(long nowMilliseconds, ListRuns call, CallOutcome.Listed list, LeaderOutput output) {
        listed = true;
        acknowledgedAtWorker = Math.max(acknowledgedAtWorker, call.acknowledgedEnds());
        nextListAt = nowMilliseconds;
        listedRuns.update(nowMilliseconds, list.running());
        orders.onList(call.id(), listedRuns.runs());
        RunListComparator.Findings findings = comparator.compare(worker, acknowledged, list);
        findings.unknownRuns().stream()
                .filter(run -> !unknownRuns.contains(run))
                .forEach(run -> listLog.onUnknownRun(run, call.id(), output));
        unknownRuns.clear();
        unknownRuns.addAll(findings.unknownRuns());
        unknownRuns.forEach(run -> orders.stopOnce(nowMilliseconds, run, output));
        findings.obsoleteRuns().forEach(run -> orders.stopOnce(nowMilliseconds, run, output));
        forgetEndedOrders();
        findings.ends().forEach(end -> updateHealth(nowMilliseconds, end, output));
        listLog.noteUncounted(acknowledged, list, findings.ends());
        if (findings.ends().isEmpty()) {
            acknowledge(findings.lastEnd(), output);
        } else {
            proposer.proposeListed(nowMilliseconds, list, findings, output);
        }
        stopStalled(nowMilliseconds, list.running(), output);
    }

    private void acknowledge(long number, LeaderOutput output) {
        if (number > acknowledged) {
            acknowledged = number;
            listLog.onAcknowledged(number, output);
        }
    }

    /** Ends a run whose start was refused. */
    void proposeRefused(long nowMilliseconds, RunEnd end, WorkerCall call, LeaderOutput output) {
        proposer.proposeRefused(nowMilliseconds, end, call, output);
    }

    /** Returns what the next life of the worker may have carried out of the starts for this one. */
    NextLifeRuns nextLife() {
        return nextLife;
    }

    /**
     * Ends all runs because the worker's lease is over. The worker needs a new list before it gets
     * runs.
     */
    void lapseAll(LeaseEvidence lease, LeaderOutput output) {
        listed = false;
        List<RunEnd> lapsed =
                ledgerRuns().stream()
                        .map(run -> new RunEnd(run.run(), RunOutcome.LAPSED, checkpointOf(run)))
                        .toList();
        unknownRuns.clear();
        orders.clear();
        listedRuns.clear();
        if (!lapsed.isEmpty()) {
            proposer.proposeLapsed(lapsed, lease, output);
        }
    }

    /** Stops all runs that the ledger has on the worker. */
    void stopAll(long nowMilliseconds, LeaderOutput output) {
        ledgerRuns().forEach(run -> orders.stopOnce(nowMilliseconds, run.run(), output));
    }

    /** Returns how many runs the ledger has on this worker. */
    int runCount() {
        return ledgerRuns().size();
    }

    private Collection<ActiveRun> ledgerRuns() {
        return ledger.worker(worker).map(WorkerEntry::runs).orElse(List.of());
    }

    private boolean hasRuns() {
        return !ledgerRuns().isEmpty();
    }

    private void forgetEndedOrders() {
        Optional<WorkerEntry> entry = ledger.worker(worker);
        orders.retain(
                run ->
                        unknownRuns.contains(run)
                                || entry.map(known -> known.has(run)).orElse(false));
    }

    private void updateHealth(long nowMilliseconds, RunEnd end, LeaderOutput output) {
        StepId step = end.run().task().step();
        boolean standing =
                ledger.workflow(step.workflow())
                        .flatMap(entry -> entry.step(step))
                        .map(tasks -> tasks.definition().standing())
                        .orElse(false);
        if (standing) {
            health.onStandingEnd(nowMilliseconds, end);
        } else {
            health.onEnd(nowMilliseconds, end, output);
        }
    }

    private void stopStalled(long nowMilliseconds, List<RunStatus> running, LeaderOutput output) {
        List<RunId> stalled = health.findStalled(nowMilliseconds, running);
        // Fillers are slowed down on purpose, and gang members wait for each other.
        ledgerRuns().stream()
                .filter(run -> stalled.contains(run.run()))
                .filter(run -> !run.step().filler() && !run.step().gang())
                .toList()
                .forEach(
                        run -> {
                            orders.stopOnce(nowMilliseconds, run.run(), output);
                            health.quarantine(nowMilliseconds, "stalls_runs", output);
                        });
    }

    private String checkpointOf(ActiveRun run) {
        return status(run.run()).map(RunStatus::checkpoint).orElse("");
    }
}
