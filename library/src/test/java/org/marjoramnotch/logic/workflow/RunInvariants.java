package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.marjoramnotch.model.command.Command;
import org.marjoramnotch.model.command.EndRuns;
import org.marjoramnotch.model.command.WorkflowCommand;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.RunEnd;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.RunOutcome;
import org.marjoramnotch.model.workflow.WorkflowTaskId;

/**
 * Checks the invariants of runs on workers: no task runs twice at the same time, no finished task
 * is started again, and the capacity of no worker is exceeded.
 */
final class RunInvariants {
    private final Set<WorkflowTaskId> doneTasks = new HashSet<>();
    private final Set<RunId> lapsedRuns = new HashSet<>();
    private WorkflowLedger follower = new WorkflowLedger();

    /** Starts another replica from a snapshot of the ledger; it applies all later commands. */
    void startFollower(WorkflowLedger ledger) {
        follower = new WorkflowLedger();
        follower.restore(ledger.snapshot());
    }

    /** Checks that the other replica has the same state as the ledger. */
    void checkFollower(WorkflowLedger ledger) {
        assertThat(follower.snapshot()).isEqualTo(ledger.snapshot());
    }

    /** Notes the ends of a command that the ledger has applied. */
    void onApplied(Command command, WorkflowLedger ledger) {
        follower.apply((WorkflowCommand) command);
        if (!(command instanceof EndRuns ends)) {
            return;
        }
        for (RunEnd end : ends.ends()) {
            if (end.outcome() == RunOutcome.LAPSED) {
                lapsedRuns.add(end.run());
            } else if (end.outcome() == RunOutcome.DONE && !cameTooLate(end.run(), ledger)) {
                doneTasks.add(end.run().task());
            }
        }
    }

    /**
     * Returns whether the lease of a run had lapsed before its end was known, and its task has been
     * started again by then. Such an end does not count.
     */
    private boolean cameTooLate(RunId run, WorkflowLedger ledger) {
        return lapsedRuns.contains(run)
                && ledger.workflow(run.task().step().workflow())
                        .flatMap(workflow -> workflow.task(run.task()))
                        .map(task -> task.isRunning() && task.run() > run.number())
                        .orElse(false);
    }

    void check(long now, Collection<SimulatedFleetWorker> workers) {
        Map<WorkflowTaskId, String> running = new HashMap<>();
        for (SimulatedFleetWorker worker : workers) {
            Resources taken = Resources.NONE;
            for (SimulatedRun run : worker.live()) {
                taken = taken.plus(run.step.reserved());
                String other = running.put(run.run.task(), worker.worker().id().value());
                assertThat(other).as("second run of " + run.run.task() + " at " + now).isNull();
                assertThat(run.startedAt == now && doneTasks.contains(run.run.task()))
                        .as("start of a task that was done, " + run.run)
                        .isFalse();
            }
            assertThat(worker.worker().capacity().holds(taken))
                    .as("worker " + worker.worker().id() + " holds " + taken + " at " + now)
                    .isTrue();
        }
    }
}
