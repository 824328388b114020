package org.marjoramnotch.logic.workflow;

import java.util.LinkedHashMap;
import java.util.Map;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.logic.preemption.StopTimes;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.workflow.RunEnd;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.RunOutcome;
import org.marjoramnotch.model.workflow.StepId;

/** Stops runs whose result is of no use any more, or whose capacity urgent work needs. */
final class RunStopper {
    private final WorkflowLedger ledger;
    private final WorkerSessions sessions;
    private final StopTimes stopTimes;

    RunStopper(WorkflowLedger ledger, WorkerSessions sessions, StopTimes stopTimes) {
        this.ledger = ledger;
        this.sessions = sessions;
        this.stopTimes = stopTimes;
    }

    /** Stops all runs of a workflow. */
    void stopAll(long nowMilliseconds, JobId workflow, LeaderOutput output) {
        ledger.workflow(workflow)
                .ifPresent(entry -> stop(nowMilliseconds, entry.running(), output));
    }

    /**
     * Stops the other members of a gang after one did not start or its run lapsed. They cannot make
     * progress without it, and all members are placed together again.
     */
    void stopBrokenGang(long nowMilliseconds, RunEnd end, LeaderOutput output) {
        boolean missing =
                end.outcome() == RunOutcome.NOT_STARTED || end.outcome() == RunOutcome.LAPSED;
        StepId id = end.run().task().step();
        StepTasks step =
                ledger.workflow(id.workflow()).flatMap(entry -> entry.step(id)).orElse(null);
        if (missing && step != null && step.definition().gang()) {
            Map<RunId, TaskState> members = new LinkedHashMap<>();
            step.addRunning(id, members);
            stop(nowMilliseconds, members, output);
        }
    }

    private void stop(long nowMilliseconds, Map<RunId, TaskState> runs, LeaderOutput output) {
        runs.forEach(
                (run, task) ->
                        task.worker()
                                .ifPresent(worker -> stop(nowMilliseconds, worker, run, output)));
    }

    /** Stops a run on a worker. */
    void stop(long nowMilliseconds, WorkerId worker, RunId run, LeaderOutput output) {
        stopTimes.onRequested(nowMilliseconds, run);
        sessions.of(worker).ifPresent(session -> session.stop(nowMilliseconds, run, output));
    }
}
