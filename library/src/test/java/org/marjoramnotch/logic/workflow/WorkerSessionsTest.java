package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.marjoramnotch.model.command.DismissWorker;
import org.marjoramnotch.model.command.EnrollWorker;
import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.order.CallOutcome;
import org.marjoramnotch.model.order.RunStatus;
import org.marjoramnotch.model.order.WorkerCall;
import org.marjoramnotch.model.workflow.NextLifeEvidence;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.RunPlacement;

class WorkerSessionsTest extends WorkerSessionTestCase {
    private static final OptionalLong NEXT_START = OptionalLong.of(2);

    // A new leader started a task again while the next life of its worker carried out the start.
    @Test
    void taskOfDismissedLifeWaitsForTheListOfTheNextOne() {
        RunId run = new RunId(TASK, 1);
        startWorkflow(new RunPlacement(run, worker.incarnation(), ""));
        FleetWorker other =
                new FleetWorker(
                        new WorkerIncarnation(new WorkerId("w-2"), 1),
                        worker.pool(),
                        "10.0.0.2:80",
                        worker.availabilityZone(),
                        worker.capacity(),
                        worker.labels(),
                        false);
        ledger.apply(new EnrollWorker(other));
        WorkflowDuty duty = startDuty();
        for (WorkerCall list : List.copyOf(calls)) {
            boolean restarted = list.worker().equals(worker);
            duty.onCallOutcome(
                    10,
                    new CallOutcome.Listed(
                            list.id(),
                            0,
                            restarted ? NEXT_START : OptionalLong.of(1),
                            restarted ? List.of(new RunStatus(run, "", 10, -1)) : List.of(),
                            List.of()),
                    output);
        }
        duty.onTick(20, output);
        DismissWorker dismiss =
                new DismissWorker(
                        worker.incarnation(),
                        Optional.of(new NextLifeEvidence(List.of(), List.of(TASK), true)));
        assertThat(proposals).containsExactly(dismiss);

        duty.onApplied(30, dismiss, ledger.apply(dismiss), output);
        duty.onBatchEnd(30, output);
        assertThat(proposals).containsExactly(dismiss);
    }
}
