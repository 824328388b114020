package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.message.ApplyConfiguration;
import org.marjoramnotch.model.message.CancelWorkflowRequest;
import org.marjoramnotch.model.message.SubmitWorkflowRequest;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.WorkflowDraft;

class WorkflowRandomisedTest {
    private static final int WORKFLOWS = 30;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void everyWorkflowEndsAndNothingRunsTwice(long seed) {
        WorkflowCell cell = new WorkflowCell(seed);
        cell.request(new ApplyConfiguration(TestFleet.configuration(1)));
        cell.run(100);
        for (int index = 0; index < 6; index++) {
            cell.addWorker("w-" + index, new Resources(16_000, 64_000, 0));
        }
        cell.run(300);
        cell.loseCalls(0.08);
        Map<String, Boolean> cancelled = new LinkedHashMap<>();
        for (int index = 0; index < WORKFLOWS; index++) {
            String id = "%016x".formatted(seed * 1_000 + index);
            cell.request(new SubmitWorkflowRequest(TestFleet.target(id), draft(cell.random())));
            cell.run(150);
            injectFailure(cell);
            boolean cancel = cell.random().nextInt(10) == 0;
            cancelled.put(id, cancel);
            if (cancel) {
                cell.request(new CancelWorkflowRequest(TestFleet.target(id)));
            }
        }
        cell.loseCalls(0);
        cell.workers.keySet().forEach(worker -> cell.cutOff(worker, false));
        cell.run(60_000);

        for (String id : cancelled.keySet()) {
            Optional<WorkflowEntry> entry = cell.ledger.workflow(new JobId(id));
            if (entry.isPresent()) {
                assertThat(entry.get().state().isFinal())
                        .as(id + " is " + entry.get().state())
                        .isTrue();
            }
        }
        assertThat(cell.workers.values()).allMatch(worker -> worker.live().isEmpty());
    }

    private static WorkflowDraft draft(UniformRandomProvider random) {
        List<StepDefinition> steps = new ArrayList<>();
        int count = 1 + random.nextInt(3);
        for (int step = 0; step < count; step++) {
            steps.add(
                    StepDefinition.builder()
                            .tasks(1 + random.nextInt(6))
                            .demand(
                                    new Resources(
                                            500 + random.nextInt(6_000),
                                            100 + random.nextInt(8_000),
                                            0))
                            .estimateMilliseconds(200 + random.nextInt(1_500))
                            .after(step == 0 ? List.of() : List.of(step - 1))
                            .mostPerWorker(random.nextInt(3))
                            .build());
        }
        return new WorkflowDraft("payload", steps, Optional.empty());
    }

    private static void injectFailure(WorkflowCell cell) {
        UniformRandomProvider random = cell.random();
        WorkerId worker = new WorkerId("w-" + random.nextInt(6));
        switch (random.nextInt(8)) {
            case 0 -> cell.cutOff(worker, true);
            case 1, 2 -> cell.cutOff(worker, false);
            case 3 -> cell.changeLeader();
            default -> cell.run(100);
        }
    }
}
