package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramnotch.model.command.BeginEvacuation;
import org.marjoramnotch.model.command.FinishEvacuation;
import org.marjoramnotch.model.command.StartRuns;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.order.CallOutcome;
import org.marjoramnotch.model.order.StartRun;
import org.marjoramnotch.model.order.StopRun;
import org.marjoramnotch.model.order.WorkerCall;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.RunPlacement;

/** Starts that are committed for a worker whose availability zone is evacuated. */
class WithheldStartTest extends WorkerSessionTestCase {
    private RunPlacement placement;

    @BeforeEach
    void listNothing() {
        answerList(List.of());
        placement = new RunPlacement(new RunId(TASK, 1), worker.incarnation(), "");
    }

    /** Guards against a start that is sent, or sent again, although the zone is evacuated. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void startIsStoppedInsteadOfSent(boolean sentBefore) {
        startWorkflow(placement);
        if (sentBefore) {
            session.start(20, placement, Optional.empty(), output);
            StartRun lost = (StartRun) calls.remove(calls.size() - 1);
            ledger.apply(new BeginEvacuation(worker.availabilityZone(), 1));
            session.onOutcome(420, lost, 20, new CallOutcome.Unanswered(lost.id()), output);
        } else {
            ledger.apply(new BeginEvacuation(worker.availabilityZone(), 1));
            session.start(420, placement, Optional.empty(), output);
        }
        session.tick(500, output);
        assertThat(orders()).singleElement().isInstanceOf(StopRun.class);
        assertThat(DecisionFields.only(decisionLog, "start_withheld"))
                .containsEntry("sent", Boolean.toString(sentBefore))
                .containsEntry("reason", "zone_evacuated");
    }

    private List<WorkerCall> orders() {
        return calls.stream()
                .filter(call -> call instanceof StartRun || call instanceof StopRun)
                .toList();
    }

    /** Guards against starts of a leader that is cut off and does not know of the evacuation. */
    @Test
    void startCommittedAfterBeginHasNoEffect() {
        startWorkflow(new RunPlacement(new RunId(TASK, 1), otherIncarnation(), ""));
        ledger.apply(new BeginEvacuation(worker.availabilityZone(), 1));
        ledger.apply(new StartRuns(List.of(placement)));
        assertThat(ledger.worker(worker.id()).orElseThrow().runs()).isEmpty();
        ledger.apply(new FinishEvacuation(worker.availabilityZone(), 2));
        ledger.apply(new StartRuns(List.of(placement)));
        assertThat(ledger.worker(worker.id()).orElseThrow().runs()).hasSize(1);
    }

    private WorkerIncarnation otherIncarnation() {
        return new WorkerIncarnation(worker.id(), 99);
    }
}
