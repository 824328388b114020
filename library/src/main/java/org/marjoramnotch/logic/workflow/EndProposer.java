package org.marjoramnotch.logic.workflow;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.model.command.EndRuns;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.order.CallOutcome;
import org.marjoramnotch.model.order.WorkerCall;
import org.marjoramnotch.model.workflow.RunEnd;
import org.marjoramnotch.model.workflow.RunId;

/** Proposes ends of runs on one worker incarnation, and logs on what they rest. */
final class EndProposer {
    private final WorkerIncarnation worker;
    private final RunOrderTracker orders;
    private final RunLog log;
    private final RunListLog listLog;
    private final Deque<ProposedEnds> proposed = new ArrayDeque<>();

    /**
     * Ends that are not applied yet.
     *
     * @param command the proposal
     * @param lastEnd the number that may be acknowledged once it is applied; 0 for none
     */
    private record ProposedEnds(EndRuns command, long lastEnd) {}

    EndProposer(WorkerIncarnation worker, RunOrderTracker orders, RunLog log, RunListLog listLog) {
        this.worker = worker;
        this.orders = orders;
        this.log = log;
        this.listLog = listLog;
    }

    /** Returns whether any proposed ends are not applied yet. */
    boolean isAwaitingCommit() {
        return !proposed.isEmpty();
    }

    /**
     * Handles the application of ends of the worker; returns the number up to which it may discard
     * its ends now, 0 for none.
     */
    long onApplied(EndRuns applied) {
        ProposedEnds first = proposed.peek();
        // A session that was dismissed may have proposed ends of the same incarnation.
        if (first == null || !first.command().equals(applied)) {
            return 0;
        }
        proposed.remove();
        return first.lastEnd();
    }

    /** Proposes ends that a list shows, also by showing neither a run nor its end. */
    void proposeListed(
            long nowMilliseconds,
            CallOutcome.Listed list,
            RunListComparator.Findings findings,
            LeaderOutput output) {
        EndOrigin origin = EndOrigin.ofList(list);
        findings.ends().stream()
                .map(RunEnd::run)
                .filter(run -> origin.numberOf(run).isEmpty())
                .forEach(run -> logNotStarted(nowMilliseconds, run, origin, output));
        propose(findings.ends(), findings.lastEnd(), origin, output);
    }

    /** Proposes ends that a list of the next life shows; their numbers are of that life. */
    void proposeListedByNextLife(CallOutcome.Listed list, List<RunEnd> ends, LeaderOutput output) {
        propose(ends, 0, EndOrigin.ofList(list), output);
    }

    /** Proposes the end of a run whose start was refused. */
    void proposeRefused(long nowMilliseconds, RunEnd end, WorkerCall call, LeaderOutput output) {
        EndOrigin origin = EndOrigin.ofRefusal(call.id());
        logNotStarted(nowMilliseconds, end.run(), origin, output);
        propose(List.of(end), 0, origin, output);
    }

    /** Proposes the ends of all runs of a worker whose lease is over. */
    void proposeLapsed(List<RunEnd> ends, LeaseEvidence lease, LeaderOutput output) {
        listLog.onLeaseOver(ends.size(), lease, output);
        propose(ends, 0, EndOrigin.of(RunEndSource.LEASE_OVER), output);
    }

    private void logNotStarted(
            long nowMilliseconds, RunId run, EndOrigin origin, LeaderOutput output) {
        listLog.onNotStarted(nowMilliseconds, run, origin, orders.evidence(run), output);
    }

    private void propose(List<RunEnd> ends, long lastEnd, EndOrigin origin, LeaderOutput output) {
        EndRuns command = new EndRuns(worker, ends);
        proposed.add(new ProposedEnds(command, lastEnd));
        log.onProposed(command, origin);
        output.propose(command);
    }
}
