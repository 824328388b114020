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

/** What must always hold on the workers. */
final class RunInvariants {
    private final Set<WorkflowTaskId> doneTasks = new HashSet<>();
    private WorkflowLedger follower = new WorkflowLedger();

    /** Lets another replica begin from a snapshot of the ledger and follow all commands. */
    void startFollower(WorkflowLedger ledger) {
        follower = new WorkflowLedger();
        follower.restore(ledger.snapshot());
    }

    /** Checks that the replica that follows has the state of the ledger. */
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
