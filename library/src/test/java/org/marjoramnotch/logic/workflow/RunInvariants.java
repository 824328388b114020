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
import org.marjoramnotch.model.workflow.RunOutcome;
import org.marjoramnotch.model.workflow.WorkflowTaskId;

/**
 * Checks the invariants of runs on workers: no task runs twice at the same time, no finished task
 * is started again, and the capacity of no worker is exceeded.
 */
final class RunInvariants {
    private final Set<WorkflowTaskId> doneTasks = new HashSet<>();
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

    void onApplied(Command command) {
        follower.apply((WorkflowCommand) command);
        if (command instanceof EndRuns ends) {
            ends.ends().stream()
                    .filter(end -> end.outcome() == RunOutcome.DONE)
                    .forEach(end -> doneTasks.add(end.run().task()));
        }
    }

    void check(long now, Collection<SimulatedFleetWorker> workers) {
        Map<WorkflowTaskId, String> running = new HashMap<>();
        for (SimulatedFleetWorker worker : workers) {
            Resources taken = Resources.NONE;
            for (SimulatedFleetWorker.LiveRun run : worker.live()) {
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
