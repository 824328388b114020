package org.marjoramnotch.logic.workflow;

import java.util.LinkedHashMap;
import java.util.Map;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.workflow.RunEnd;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.RunOutcome;
import org.marjoramnotch.model.workflow.StepId;

/** Stops runs whose result is of no use any more. */
final class RunStopper {
    private final WorkflowLedger ledger;
    private final WorkerSessions sessions;

    RunStopper(WorkflowLedger ledger, WorkerSessions sessions) {
        this.ledger = ledger;
        this.sessions = sessions;
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
                                .flatMap(sessions::of)
                                .ifPresent(session -> session.stop(nowMilliseconds, run, output)));
    }
}
