package org.marjoramnotch.logic.workflow;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.order.CallOutcome;
import org.marjoramnotch.model.order.RunEndReport;
import org.marjoramnotch.model.workflow.RunEnd;
import org.marjoramnotch.model.workflow.RunEndEffect;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.RunOutcome;

/** Logs what the lists of one worker incarnation show against the ledger. */
final class RunListLog {
    /** Keeps a line below some kilobytes. */
    private static final int MAXIMUM_NAMED_ENDS = 40;

    private final WorkflowLedger ledger;
    private final WorkerIncarnation worker;
    private final RunLog log;

    /** Ends that are acknowledged with the next raise although they were not proposed. */
    private final List<UncountedEnd> uncounted = new ArrayList<>();

    private long list;
    private int counted;

    private record UncountedEnd(RunEndReport report, RunEndEffect effect) {
        @Override
        public String toString() {
            RunEnd end = report.end();
            return end.run() + "#" + report.number() + ":" + end.outcome() + ":" + effect;
        }
    }

    RunListLog(WorkflowLedger ledger, WorkerIncarnation worker, RunLog log) {
        this.ledger = ledger;
        this.worker = worker;
        this.log = log;
    }

    /** Notes the ends in a list that are not acknowledged yet and are not proposed. */
    void noteUncounted(long acknowledged, CallOutcome.Listed listed, List<RunEnd> proposed) {
        if (listed.ended().isEmpty()) {
            return;
        }
        list = listed.id();
        counted = proposed.size();
        Set<RunId> runs = proposed.stream().map(RunEnd::run).collect(Collectors.toSet());
        for (RunEndReport report : listed.ended()) {
            if (report.number() > acknowledged && !runs.contains(report.end().run())) {
                uncounted.add(new UncountedEnd(report, ledger.effectOf(worker, report.end())));
            }
        }
    }

    /** Logs a raise of the acknowledged number that includes ends which were not proposed. */
    void onAcknowledged(long number, LeaderOutput output) {
        if (uncounted.isEmpty()) {
            return;
        }
        uncounted.forEach(end -> log.onUncountedEndAcknowledged(end.effect()));
        log.log(
                DecisionLogEntry.of(
                        "ends_acknowledged",
                        "worker",
                        worker.worker(),
                        "up_to",
                        number,
                        "list",
                        list,
                        "counted",
                        counted,
                        "uncounted",
                        uncounted.size(),
                        "ends",
                        uncounted.stream()
                                .limit(MAXIMUM_NAMED_ENDS)
                                .map(UncountedEnd::toString)
                                .collect(Collectors.joining(","))),
                output);
        uncounted.clear();
    }

    /** Logs a run in a list that the ledger does not have on the worker. */
    void onUnknownRun(RunId run, long shownIn, LeaderOutput output) {
        RunEnd end = new RunEnd(run, RunOutcome.STOPPED, "");
        log.log(
                DecisionLogEntry.of(
                        "unknown_run",
                        "run",
                        run,
                        "worker",
                        worker.worker(),
                        "reason",
                        ledger.effectOf(worker, end),
                        "list",
                        shownIn),
                output);
    }

    /** Logs on what a run counts as not started. */
    void onNotStarted(
            long nowMilliseconds,
            RunId run,
            EndOrigin origin,
            OrderEvidence order,
            LeaderOutput output) {
        log.log(
                DecisionLogEntry.of(
                        "run_not_started",
                        "run",
                        run,
                        "worker",
                        worker.worker(),
                        "reason",
                        origin.source(),
                        "call",
                        RunLog.orNone(origin.call()),
                        "start_call",
                        RunLog.orNone(order.call()),
                        "start_sent_ms",
                        order.sentAt().isPresent()
                                ? nowMilliseconds - order.sentAt().getAsLong()
                                : "none",
                        "answered_after_call",
                        RunLog.orNone(order.settledAfterCall()),
                        "unanswered",
                        order.unanswered(),
                        "stop",
                        order.stopRequested()),
                output);
    }

    /** Logs that the runs of the worker are over since its lease is. */
    void onLeaseOver(int runs, LeaseEvidence lease, LeaderOutput output) {
        log.log(
                DecisionLogEntry.of(
                        "worker_lease_over",
                        "worker",
                        worker.worker(),
                        "runs",
                        runs,
                        "source",
                        RunEndSource.LEASE_OVER,
                        "clock",
                        RunLog.orNone(lease.reading()),
                        "reading_ms",
                        lease.readingAge(),
                        "granted_until",
                        RunLog.orNone(lease.grantedUntil()),
                        "earlier_grant_ms",
                        lease.longestEarlierGrant(),
                        "own_grant_ms",
                        RunLog.orNone(lease.ownGrantAge())),
                output);
    }
}
