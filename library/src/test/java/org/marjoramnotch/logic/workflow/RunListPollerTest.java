package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.marjoramnotch.model.command.CommandResult;
import org.marjoramnotch.model.command.EndRuns;
import org.marjoramnotch.model.order.CallOutcome;
import org.marjoramnotch.model.order.ListRuns;
import org.marjoramnotch.model.order.RunEndReport;
import org.marjoramnotch.model.workflow.RunEnd;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.RunOutcome;
import org.marjoramnotch.model.workflow.RunPlacement;
import org.marjoramnotch.model.workflow.WorkflowTaskId;

class RunListPollerTest extends WorkerSessionTestCase {
    private ListRuns onlyList() {
        assertThat(calls).singleElement().isInstanceOf(ListRuns.class);
        return (ListRuns) calls.remove(0);
    }

    // The number of an end left before its commit, once other ends of its worker were applied.
    @Test
    void endInFlightIsNotAcknowledgedWithOtherEnds() {
        RunId run = new RunId(TASK, 1);
        startWorkflow(new RunPlacement(run, worker.incarnation(), ""));
        WorkflowDuty duty = startDuty();
        RunEndReport end = new RunEndReport(1, new RunEnd(run, RunOutcome.DONE, ""));
        duty.onCallOutcome(
                10,
                new CallOutcome.Listed(
                        onlyList().id(), 0, OptionalLong.of(1), List.of(), List.of(end)),
                output);
        EndRuns own = new EndRuns(worker.incarnation(), List.of(end.end()));
        assertThat(proposals).containsExactly(own);

        RunId other = new RunId(new WorkflowTaskId(TASK.step(), 1), 1);
        duty.onApplied(
                20,
                new EndRuns(
                        worker.incarnation(),
                        List.of(new RunEnd(other, RunOutcome.NOT_STARTED, ""))),
                new CommandResult.Accepted(),
                output);
        duty.onTick(50, output);
        assertThat(calls).isEmpty();

        duty.onApplied(60, own, ledger.apply(own), output);
        duty.onTick(1_100, output);
        assertThat(onlyList().acknowledgedEnds()).isEqualTo(1);
    }
}
