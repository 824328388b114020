package org.marjoramnotch.logic.workflow;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.model.command.EndRuns;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.order.CallOutcome;
import org.marjoramnotch.model.order.ListRuns;
import org.marjoramnotch.model.order.RunStatus;
import org.marjoramnotch.model.workflow.RunEnd;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.RunOutcome;
import org.marjoramnotch.model.workflow.StepId;

/**
 * Asks one life of a worker for its list when there is something to learn, and follows the list.
 */
final class RunListPoller {
    /** Pause between lists of a worker that does not answer. */
    private static final long RETRY_MILLISECONDS = 250;

    /** The same pause where nothing runs, since each look at a worker costs. */
    private static final long IDLE_RETRY_MILLISECONDS = 1_000;

    /** Time for the last ends of an idle worker to be acknowledged, well within 4 s. */
    private static final long IDLE_ACKNOWLEDGEMENT_MILLISECONDS = 1_000;

    private final WorkflowLedger ledger;
    private final WorkerIncarnation worker;
    private final RunOrderTracker orders;
    private final WorkerHealth health;
    private final RunListComparator comparator;
    private final Map<RunId, RunStatus> rows = new HashMap<>();
    private final Set<RunId> unknownRuns = new HashSet<>();
    private boolean listed;
    private boolean outstanding;
    private int endsInFlight;
    private long nextAt;
    private long idleSince;
    private long acknowledged;
    private long acknowledgedAtWorker;
    private long acknowledgeWhenApplied;

    RunListPoller(
            WorkflowLedger ledger,
            WorkerIncarnation worker,
            RunOrderTracker orders,
            WorkerHealth trust,
            long nowMilliseconds) {
        this.ledger = ledger;
        this.worker = worker;
        this.orders = orders;
        this.health = trust;
        this.comparator = new RunListComparator(ledger, orders);
        this.idleSince = nowMilliseconds;
    }

    /** Tells whether the worker has answered with a list in this term, since its last lapse. */
    boolean hasList() {
        return listed;
    }

    /** Returns runs that the worker has and the ledger does not know there. */
    Set<RunId> unknownRuns() {
        return unknownRuns;
    }

    /** Returns the newest row of a run. */
    Optional<RunStatus> row(RunId run) {
        return Optional.ofNullable(rows.get(run));
    }

    /** Returns the number up to which the worker may forget ends. */
    long acknowledged() {
        return acknowledged;
    }

    /** Tells whether ends are proposed that are not applied yet. */
    boolean isAwaitingCommit() {
        return endsInFlight > 0;
    }

    /** Tells whether a list should wait for an end, rather than come at once. */
    boolean mayLongPoll() {
        return listed && unknownRuns.isEmpty() && hasRuns();
    }

    boolean isDue(long nowMilliseconds) {
        if (outstanding || endsInFlight > 0 || nowMilliseconds < nextAt) {
            return false;
        }
        boolean acknowledgementDue =
                acknowledged > acknowledgedAtWorker
                        && nowMilliseconds - idleSince >= IDLE_ACKNOWLEDGEMENT_MILLISECONDS;
        return !listed || hasRuns() || !unknownRuns.isEmpty() || acknowledgementDue;
    }

    void onSent() {
        outstanding = true;
    }

    void onOutcome() {
        outstanding = false;
    }

    void onStart(long nowMilliseconds) {
        nextAt = Math.min(nextAt, nowMilliseconds);
        idleSince = nowMilliseconds;
    }

    void onRefused(long nowMilliseconds) {
        nextAt = nowMilliseconds + RETRY_MILLISECONDS;
    }

    void onUnanswered(long nowMilliseconds) {
        nextAt = nowMilliseconds + (hasRuns() ? RETRY_MILLISECONDS : IDLE_RETRY_MILLISECONDS);
    }

    /** Is told that ends of this worker were applied; they may be forgotten there now. */
    void onEndsApplied(long nowMilliseconds) {
        endsInFlight = Math.max(0, endsInFlight - 1);
        acknowledged = Math.max(acknowledged, acknowledgeWhenApplied);
        forgetEndedOrders();
        idleSince = nowMilliseconds;
        if (hasRuns()) {
            nextAt = nowMilliseconds;
        }
    }

    /** Follows a list. */
    void onList(
            long nowMilliseconds,
            ListRuns call,
            long sentAt,
            CallOutcome.Listed list,
            LeaderOutput output) {
        listed = true;
        acknowledgedAtWorker = Math.max(acknowledgedAtWorker, call.acknowledgedEnds());
        nextAt = nowMilliseconds;
        rows.clear();
        list.running().forEach(row -> rows.put(row.run(), row));
        RunListComparator.Findings findings =
                comparator.compare(worker, acknowledged, sentAt, list);
        unknownRuns.clear();
        unknownRuns.addAll(findings.foreign());
        unknownRuns.forEach(run -> orders.stopOnce(nowMilliseconds, run, output));
        findings.over().forEach(run -> orders.stopOnce(nowMilliseconds, run, output));
        forgetEndedOrders();
        findings.ends().forEach(end -> updateHealth(nowMilliseconds, end, output));
        if (findings.ends().isEmpty()) {
            acknowledged = Math.max(acknowledged, findings.lastEnd());
        } else {
            acknowledgeWhenApplied = Math.max(acknowledgeWhenApplied, findings.lastEnd());
            proposeEnds(findings.ends(), output);
        }
        stopStalled(nowMilliseconds, list.running(), output);
    }

    /** Ends all runs since the lease of the worker is over; it must be listed anew. */
    void lapseAll(LeaderOutput output) {
        listed = false;
        List<RunEnd> lapsed =
                runs().stream()
                        .map(run -> new RunEnd(run.run(), RunOutcome.LAPSED, checkpointOf(run)))
                        .toList();
        unknownRuns.clear();
        orders.clear();
        rows.clear();
        if (!lapsed.isEmpty()) {
            output.logDecision(
                    DecisionLogEntry.of(
                            "worker_lease_over", "worker", worker.worker(), "runs", lapsed.size()));
            proposeEnds(lapsed, output);
        }
    }

    void proposeEnds(List<RunEnd> ends, LeaderOutput output) {
        endsInFlight++;
        output.propose(new EndRuns(worker, ends));
    }

    /** Returns how many runs the ledger knows there. */
    int runCount() {
        return runs().size();
    }

    private Collection<ActiveRun> runs() {
        return ledger.worker(worker).map(WorkerEntry::runs).orElse(List.of());
    }

    private boolean hasRuns() {
        return !runs().isEmpty();
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
        List<RunId> stalled = health.onRows(nowMilliseconds, running);
        // Fillers are slowed on purpose, and a gang waits for its members.
        runs().stream()
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
        return row(run.run()).map(RunStatus::checkpoint).orElse("");
    }
}
