package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.message.ApplyConfiguration;
import org.marjoramnotch.model.message.SubmitWorkflowRequest;
import org.marjoramnotch.model.resource.Resources;

class WorkerResponseLogTest {
    private static final WorkerId WORKER = new WorkerId("w-1");

    private final WorkflowCell cell = new WorkflowCell(7);

    @Test
    void unresponsiveWorkerIsLoggedOnceAndOnceWhenItAnswersAgain() {
        cell.request(new ApplyConfiguration(TestFleet.configuration(3)));
        cell.run(50);
        cell.addWorker(WORKER.value(), new Resources(8_000, 16_000, 0));
        cell.run(300);
        cell.request(
                new SubmitWorkflowRequest(
                        TestFleet.target("0123456789abcdef"), TestFleet.draft(1, 1_000)));
        cell.run(500);
        cell.cutOff(WORKER, true);
        cell.run(2_500);
        cell.cutOff(WORKER, false);
        cell.run(3_000);

        DecisionLogEntry unanswered = only("worker_call_unanswered");
        assertThat(unanswered.fields()).startsWith("worker", WORKER, "call", "ListRuns");
        assertThat(unanswered.fields()).containsSubsequence("unanswered", 1).endsWith("runs", 1);
        DecisionLogEntry again = only("worker_answers_again");
        assertThat(again.fields()).startsWith("worker", WORKER);
        assertThat(lastAnswerAge(again)).isGreaterThan(lastAnswerAge(unanswered));
    }

    private DecisionLogEntry only(String event) {
        List<DecisionLogEntry> logEntries =
                cell.decisionLog.stream()
                        .filter(logEntry -> logEntry.event().equals(event))
                        .toList();
        assertThat(logEntries).hasSize(1);
        return logEntries.get(0);
    }

    private static long lastAnswerAge(DecisionLogEntry logEntry) {
        return (long) logEntry.fields().get(logEntry.fields().indexOf("last_answer_ms") + 1);
    }
}
