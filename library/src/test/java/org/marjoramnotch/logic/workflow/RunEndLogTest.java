package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.message.ApplyConfiguration;
import org.marjoramnotch.model.message.SubmitWorkflowRequest;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.WorkflowDraft;

/** What the log tells of the starts and ends of runs. */
class RunEndLogTest {
    private static final WorkerId WORKER = new WorkerId("w-1");
    private static final Resources CAPACITY = new Resources(8_000, 16_000, 0);
    private static final String FIRST = "0123456789abcdef.0.0.0/1";

    private final WorkflowCell cell = new WorkflowCell(7);

    @BeforeEach
    void startFleet() {
        cell.request(new ApplyConfiguration(TestFleet.configuration(3)));
        cell.run(50);
        cell.addWorker(WORKER.value(), CAPACITY);
        cell.run(300);
    }

    private void submit(long estimateMilliseconds) {
        StepDefinition step =
                StepDefinition.builder()
                        .demand(new Resources(1_000, 100, 0))
                        .estimateMilliseconds(estimateMilliseconds)
                        .build();
        cell.request(
                new SubmitWorkflowRequest(
                        TestFleet.target("0123456789abcdef"),
                        new WorkflowDraft("payload", List.of(step), Optional.empty())));
    }

    private Map<String, String> firstEnd() {
        return DecisionFields.of(cell.decisionLog, "run_ended").get(0);
    }

    @Test
    void endInListHasItsNumberAndCall() {
        submit(1_000);
        cell.run(5_000);

        assertThat(DecisionFields.only(cell.decisionLog, "run_started"))
                .containsEntry("run", FIRST)
                .containsEntry("worker", "w-1")
                .containsEntry("token", "1")
                .containsKeys("term", "index");
        Map<String, String> end = DecisionFields.only(cell.decisionLog, "run_ended");
        assertThat(end)
                .containsEntry("run", FIRST)
                .containsEntry("worker", "w-1")
                .containsEntry("outcome", "DONE")
                .containsEntry("state", "COMPLETE")
                .containsEntry("source", "LIST")
                .containsEntry("effect", "ENDED")
                .containsEntry("number", "1")
                .containsEntry("token", "1")
                .containsKeys("term", "index");
        assertThat(Long.parseLong(end.get("call"))).isGreaterThan(1L << 32);
    }

    @Test
    void endByRefusalHasTheCallOfTheStart() {
        Objects.requireNonNull(cell.workers.get(WORKER)).rejectStarts(1);
        submit(1_000);
        cell.run(2_000);

        Map<String, String> end = firstEnd();
        assertThat(end)
                .containsEntry("run", FIRST)
                .containsEntry("outcome", "NOT_STARTED")
                .containsEntry("source", "REFUSAL")
                .containsEntry("number", "none")
                .containsEntry(
                        "call",
                        DecisionFields.of(cell.decisionLog, "order_rejected")
                                .get(0)
                                .get("call_id"));
    }

    @Test
    void endByLeaseHasNoCall() {
        submit(60_000);
        cell.run(500);
        cell.cutOff(WORKER, true);
        cell.run(6_000);

        assertThat(firstEnd())
                .containsEntry("run", FIRST)
                .containsEntry("outcome", "LAPSED")
                .containsEntry("source", "LEASE_OVER")
                .containsEntry("effect", "ENDED")
                .containsEntry("call", "none");
    }

    @Test
    void endByNextIncarnationIsLogged() {
        submit(60_000);
        cell.run(500);
        cell.crash(WORKER);
        cell.run(100);
        cell.addWorker(
                WORKER.value(), CAPACITY, WorkflowCell.EPOCH + cell.now(), List.of("a", "rack-1"));
        cell.run(3_000);

        assertThat(firstEnd())
                .containsEntry("run", FIRST)
                .containsEntry("worker", "w-1")
                .containsEntry("outcome", "LAPSED")
                .containsEntry("source", "NEXT_LIFE");
    }

    @Test
    void endByLaterLeaderHasItsToken() {
        submit(3_000);
        cell.run(500);
        cell.changeLeader();
        cell.run(6_000);

        assertThat(firstEnd()).containsEntry("source", "LIST").containsEntry("token", "2");
    }
}
