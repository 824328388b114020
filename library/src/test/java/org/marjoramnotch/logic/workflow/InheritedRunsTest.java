package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.model.command.EndRuns;
import org.marjoramnotch.model.command.StartRuns;
import org.marjoramnotch.model.command.WorkflowCommand;
import org.marjoramnotch.model.workflow.RunEnd;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.RunOutcome;
import org.marjoramnotch.model.workflow.RunPlacement;

class InheritedRunsTest extends WorkerSessionTestCase {
    private static final RunId FIRST = new RunId(TASK, 1);

    private List<DecisionLogEntry> apply(WorkflowCommand command) {
        return InheritedRuns.describe(ledger, command, ledger.apply(command));
    }

    private StartRuns start(long number) {
        return new StartRuns(
                List.of(new RunPlacement(new RunId(TASK, number), worker.incarnation(), "")));
    }

    @Test
    void endIsDescribedWithItsEffect() {
        startWorkflow(new RunPlacement(FIRST, worker.incarnation(), ""));
        EndRuns lapsed =
                new EndRuns(
                        worker.incarnation(), List.of(new RunEnd(FIRST, RunOutcome.LAPSED, "")));

        assertThat(DecisionFields.only(apply(lapsed), "inherited_end"))
                .containsEntry("run", FIRST.toString())
                .containsEntry("worker", "w-1")
                .containsEntry("outcome", "LAPSED")
                .containsEntry("effect", "ENDED");
        assertThat(DecisionFields.only(apply(lapsed), "inherited_end"))
                .containsEntry("effect", "ALREADY_ENDED");
    }

    @Test
    void onlyStartsWithEffectAreDescribed() {
        startWorkflow(new RunPlacement(FIRST, worker.incarnation(), ""));
        assertThat(apply(start(2))).isEmpty();
        apply(new EndRuns(worker.incarnation(), List.of(new RunEnd(FIRST, RunOutcome.LAPSED, ""))));

        assertThat(DecisionFields.only(apply(start(2)), "inherited_start"))
                .containsEntry("run", new RunId(TASK, 2).toString())
                .containsEntry("worker", "w-1");
    }
}
