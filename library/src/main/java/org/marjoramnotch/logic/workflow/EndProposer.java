package org.marjoramnotch.logic.workflow;

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

    EndProposer(WorkerIncarnation worker, RunOrderTracker orders, RunLog log, RunListLog listLog) {
        this.worker = worker;
        this.orders = orders;
        this.log = log;
        this.listLog = listLog;
    }

    /** Proposes ends that a list shows, also by showing neither a run nor its end. */
    void proposeListed(
            long nowMilliseconds, CallOutcome.Listed list, List<RunEnd> ends, LeaderOutput output) {
        EndOrigin origin = EndOrigin.ofList(list);
        ends.stream()
                .map(RunEnd::run)
                .filter(run -> origin.numberOf(run).isEmpty())
                .forEach(run -> logNotStarted(nowMilliseconds, run, origin, output));
        propose(ends, origin, output);
    }

    /** Proposes the end of a run whose start was refused. */
    void proposeRefused(long nowMilliseconds, RunEnd end, WorkerCall call, LeaderOutput output) {
        EndOrigin origin = EndOrigin.ofRefusal(call.id());
        logNotStarted(nowMilliseconds, end.run(), origin, output);
        propose(List.of(end), origin, output);
    }

    /** Proposes the ends of all runs of a worker. */
    void proposeLapsed(
            List<RunEnd> ends, RunEndSource source, LeaseEvidence lease, LeaderOutput output) {
        listLog.onLeaseOver(ends.size(), source, lease, output);
        propose(ends, EndOrigin.of(source), output);
    }

    private void logNotStarted(
            long nowMilliseconds, RunId run, EndOrigin origin, LeaderOutput output) {
        listLog.onNotStarted(nowMilliseconds, run, origin, orders.evidence(run), output);
    }

    private void propose(List<RunEnd> ends, EndOrigin origin, LeaderOutput output) {
        EndRuns command = new EndRuns(worker, ends);
        log.onProposed(command, origin);
        output.propose(command);
    }
}
