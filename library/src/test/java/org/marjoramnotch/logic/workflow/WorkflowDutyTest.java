package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.fleet.FleetConfiguration;
import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.message.ApplyConfiguration;
import org.marjoramnotch.model.message.CallTarget;
import org.marjoramnotch.model.message.CancelWorkflowRequest;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.CellRequest;
import org.marjoramnotch.model.message.ConfigurationAnswer;
import org.marjoramnotch.model.message.Done;
import org.marjoramnotch.model.message.QueueAnswer;
import org.marjoramnotch.model.message.ReadConfiguration;
import org.marjoramnotch.model.message.ReadWorkflow;
import org.marjoramnotch.model.message.Refused;
import org.marjoramnotch.model.message.ReportWorker;
import org.marjoramnotch.model.message.SubmitWorkflowRequest;
import org.marjoramnotch.model.message.WorkflowAnswer;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.WorkflowDraft;
import org.marjoramnotch.model.workflow.WorkflowState;

class WorkflowDutyTest {
    private static final String ID = "0123456789abcdef";

    private final WorkflowCell cell = new WorkflowCell(7);

    @BeforeEach
    void startFleet() {
        cell.request(new ApplyConfiguration(TestFleet.configuration(3)));
        cell.run(50);
        cell.addWorker("w-1", new Resources(8_000, 16_000, 0));
        cell.addWorker("w-2", new Resources(8_000, 16_000, 0));
        cell.run(300);
    }

    private CellReply answer(CellRequest request) {
        RequestHandle handle = cell.request(request);
        cell.run(100);
        return cell.replies.get(handle);
    }

    private WorkflowState stateOf(String id) {
        return ((WorkflowAnswer) answer(new ReadWorkflow(TestFleet.target(id)))).state();
    }

    @Test
    void workflowIsAcceptedOnlyOnceItIsStored() {
        RequestHandle handle =
                cell.request(
                        new SubmitWorkflowRequest(TestFleet.target(ID), TestFleet.draft(2, 1_000)));
        assertThat(cell.replies).doesNotContainKey(handle);
        cell.run(100);
        assertThat(cell.replies.get(handle)).isEqualTo(new Done());
    }

    @Test
    void submissionIsNotAcknowledgedOnceItsQueueWasRemoved() {
        FleetConfiguration usual = TestFleet.configuration(4);
        FleetConfiguration without =
                new FleetConfiguration(
                        usual.version(), usual.document(), List.of(), usual.pools(), usual.teams());
        cell.request(new ApplyConfiguration(without));
        CellReply reply =
                answer(new SubmitWorkflowRequest(TestFleet.target(ID), TestFleet.draft(2, 1_000)));
        assertThat(codeOf(reply)).isEqualTo(ErrorCode.UNKNOWN_QUEUE);
    }

    @Test
    void workflowRunsToItsEnd() {
        answer(new SubmitWorkflowRequest(TestFleet.target(ID), TestFleet.draft(6, 2_000)));
        cell.run(8_000);
        assertThat(stateOf(ID)).isEqualTo(WorkflowState.COMPLETE);
    }

    @Test
    void resentWorkflowIsNotDuplicated() {
        answer(new SubmitWorkflowRequest(TestFleet.target(ID), TestFleet.draft(1, 1_000)));
        cell.run(4_000);
        CellReply second =
                answer(new SubmitWorkflowRequest(TestFleet.target(ID), TestFleet.draft(1, 1_000)));
        assertThat(second).isEqualTo(new Done());
        assertThat(stateOf(ID)).isEqualTo(WorkflowState.COMPLETE);
    }

    @Test
    void cancelledWorkflowStopsWithinOneSecond() {
        answer(new SubmitWorkflowRequest(TestFleet.target(ID), TestFleet.draft(4, 1_000)));
        cell.run(100);
        assertThat(answer(new CancelWorkflowRequest(TestFleet.target(ID)))).isEqualTo(new Done());
        cell.run(1_000);
        assertThat(cell.workers.values()).allMatch(worker -> worker.live().isEmpty());
        assertThat(stateOf(ID)).isEqualTo(WorkflowState.CANCELLED);
    }

    @Test
    void workflowThatFitsNoWorkerFails() {
        answer(new SubmitWorkflowRequest(TestFleet.target(ID), TestFleet.draft(1, 9_000)));
        cell.run(6_000);
        assertThat(stateOf(ID)).isEqualTo(WorkflowState.FAILED);
    }

    @Test
    void readGivesTheReasonOfAnInfeasibleWorkflow() {
        answer(new SubmitWorkflowRequest(TestFleet.target(ID), TestFleet.draft(1, 9_000)));
        cell.run(1_500);
        assertReason("step 0 needs 9000m/100MB/0, pool pool has had [8000m/16000MB/0]");
        cell.run(4_500);
        cell.restartFromSnapshot();
        assertReason("step 0 needs 9000m/100MB/0, pool pool has had [8000m/16000MB/0]");
    }

    /** Guards against a reason of a failure for a workflow that was cancelled before it. */
    @Test
    void readGivesNoReasonAfterCancellation() {
        answer(new SubmitWorkflowRequest(TestFleet.target(ID), TestFleet.draft(1, 9_000)));
        cell.run(1_500);
        answer(new CancelWorkflowRequest(TestFleet.target(ID)));
        CellReply reply = answer(new ReadWorkflow(TestFleet.target(ID)));
        assertThat(reply).isEqualTo(new WorkflowAnswer(WorkflowState.CANCELLED, Optional.empty()));
    }

    private void assertReason(String part) {
        CellReply reply = answer(new ReadWorkflow(TestFleet.target(ID)));
        assertThat(((WorkflowAnswer) reply).reason().orElseThrow()).contains(part);
    }

    @Test
    void workflowFailsAfterAsManyFailuresAsItsQueueAllows() {
        cell.failRuns(1);
        cell.addWorker("w-1", new Resources(8_000, 16_000, 0));
        cell.addWorker("w-2", new Resources(8_000, 16_000, 0));
        cell.run(4_000);
        answer(new SubmitWorkflowRequest(TestFleet.target(ID), TestFleet.draft(1, 1_000)));
        cell.run(40_000);
        assertThat(stateOf(ID)).isEqualTo(WorkflowState.FAILED);
        long starts =
                cell.decisionLog.stream()
                        .filter(logEntry -> logEntry.event().equals("run_started"))
                        .count();
        assertThat(starts).isEqualTo(4);
    }

    @Test
    void teamStaysBelowItsUpperLimit() {
        Resources limit = new Resources(3_000, 0, 0);
        answer(new ApplyConfiguration(TestFleet.configuration(4, limit, Optional.empty())));
        answer(new SubmitWorkflowRequest(TestFleet.target(ID), TestFleet.draft(8, 1_000)));
        for (int step = 0; step < 200; step++) {
            cell.run(20);
            int running =
                    cell.workers.values().stream().mapToInt(worker -> worker.live().size()).sum();
            assertThat(running).isLessThanOrEqualTo(3);
        }
    }

    @Test
    void unknownWorkflowIsRefused() {
        assertThat(codeOf(answer(new ReadWorkflow(TestFleet.target(ID)))))
                .isEqualTo(ErrorCode.UNKNOWN_JOB);
    }

    @ParameterizedTest
    @CsvSource({
        "callers.example, /quick/0123456789abcdef, , KEY_REFUSED",
        "callers.example, /quick/0123456789abcdef, foreign, KEY_REFUSED",
        "callers.example, /nothing/0123456789abcdef, key-two, UNKNOWN_QUEUE",
        "other.example, /quick/0123456789abcdef, key-two, UNKNOWN_QUEUE",
        "callers.example, /quick/short, key-two, INVALID_REQUEST",
        "callers.example, /open/0123456789abcdef, , UNKNOWN_JOB"
    })
    void callWithoutRouteOrKeyIsRefused(
            String host, String path, @Nullable String key, ErrorCode code) {
        CallTarget target = new CallTarget(host, path, Optional.ofNullable(key));
        assertThat(codeOf(answer(new ReadWorkflow(target)))).isEqualTo(code);
    }

    @Test
    void lowerVersionIsAcknowledgedAndChangesNothing() {
        assertThat(answer(new ApplyConfiguration(TestFleet.configuration(2))))
                .isEqualTo(new Done());
        assertThat(answer(new ReadConfiguration()))
                .isEqualTo(new ConfigurationAnswer("document 3"));
    }

    @Test
    void highestOfRacingVersionsIsInForce() {
        cell.request(new ApplyConfiguration(TestFleet.configuration(9)));
        cell.request(new ApplyConfiguration(TestFleet.configuration(5)));
        cell.run(100);
        assertThat(answer(new ReadConfiguration()))
                .isEqualTo(new ConfigurationAnswer("document 9"));
    }

    private static FleetWorker draining(FleetWorker worker) {
        return new FleetWorker(
                worker.incarnation(),
                worker.pool(),
                worker.address(),
                worker.availabilityZone(),
                worker.capacity(),
                worker.labels(),
                true);
    }

    /**
     * Guards against an older report that is delayed and arrives after the report that enrolled the
     * worker.
     */
    @Test
    void delayedOlderReportIsIgnored() {
        FleetWorker worker = cell.workers.get(new WorkerId("w-1")).worker();
        FleetWorker other =
                new FleetWorker(
                        new WorkerIncarnation(new WorkerId("w-9"), 1),
                        worker.pool(),
                        "w-9",
                        worker.availabilityZone(),
                        worker.capacity(),
                        worker.labels(),
                        false);
        assertThat(answer(new ReportWorker(other, 5))).isEqualTo(new Done());
        assertThat(answer(new ReportWorker(draining(other), 4))).isEqualTo(new Done());
        assertThat(cell.ledger.worker(other.incarnation()).orElseThrow().worker().draining())
                .isFalse();
    }

    @Test
    void drainingWorkerGetsNoStartOnceItsReportIsAnswered() {
        FleetWorker worker = cell.workers.get(new WorkerId("w-1")).worker();
        FleetWorker draining = draining(worker);
        assertThat(answer(new ReportWorker(draining, cell.now() + 1))).isEqualTo(new Done());
        answer(new SubmitWorkflowRequest(TestFleet.target(ID), TestFleet.draft(8, 1_000)));
        cell.run(600);
        assertThat(cell.workers.get(new WorkerId("w-1")).live()).isEmpty();
    }

    @Test
    void resentReportOfDrainingIsAnsweredOnlyOnceItIsStored() {
        FleetWorker worker = cell.workers.get(new WorkerId("w-1")).worker();
        FleetWorker draining = draining(worker);
        ReportWorker report = new ReportWorker(draining, cell.now() + 1);
        RequestHandle first = cell.request(report);
        RequestHandle second = cell.request(report);
        assertThat(cell.replies).doesNotContainKeys(first, second);
        cell.run(100);
        assertThat(cell.replies).containsKeys(first, second);
    }

    @Test
    void gangWithMemberThatDoesNotStartIsStoppedAndPlacedAgain() {
        cell.workers.get(new WorkerId("w-2")).rejectStarts(1);
        StepDefinition gang =
                StepDefinition.builder()
                        .tasks(2)
                        .demand(new Resources(6_000, 100, 0))
                        .estimateMilliseconds(9_000)
                        .gang(true)
                        .build();
        answer(
                new SubmitWorkflowRequest(
                        TestFleet.target(ID),
                        new WorkflowDraft("payload", List.of(gang), Optional.empty())));
        cell.run(1_500);
        List<Long> runs =
                cell.workers.values().stream()
                        .flatMap(worker -> worker.live().stream())
                        .map(run -> run.run.number())
                        .toList();
        assertThat(runs).containsExactly(2L, 2L);
    }

    @Test
    void pendingWorkflowsAreCountedByQueue() {
        answer(new SubmitWorkflowRequest(TestFleet.target(ID), TestFleet.draft(1, 9_000)));
        CallTarget queue = new CallTarget("callers.example", "/quick/", Optional.of(TestFleet.KEY));
        assertThat(answer(new ReadWorkflow(queue))).isEqualTo(new QueueAnswer(1));
    }

    private static ErrorCode codeOf(CellReply reply) {
        return ((Refused) reply).refusal().code();
    }
}
