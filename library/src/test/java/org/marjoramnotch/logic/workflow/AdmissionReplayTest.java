package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.ExecutionOutcome;
import org.marjoramnotch.model.error.Refusal;
import org.marjoramnotch.model.fleet.AdviceTiming;
import org.marjoramnotch.model.fleet.FleetConfiguration;
import org.marjoramnotch.model.fleet.PoolDefinition;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.message.ApplyConfiguration;
import org.marjoramnotch.model.message.CallTarget;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.Done;
import org.marjoramnotch.model.message.Refused;
import org.marjoramnotch.model.message.SubmitWorkflowRequest;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.WorkflowDraft;
import org.marjoramnotch.model.workflow.WorkflowState;

/**
 * Replays the loads that admission answers: a rush of quick work of which the advisor can answer a
 * part, a rush of wide work that fills the pool, and both after a hole of 5 s without a leader.
 */
class AdmissionReplayTest {
    private static final int WORKERS = 40;
    private static final int DAEMONS = 4;
    private static final int STEP_MILLISECONDS = 5;
    private static final long RUSH_MILLISECONDS = 12_000;
    private static final long HOLE_MILLISECONDS = 5_000;
    private static final AdviceTiming TIMING = new AdviceTiming(60, 1, 2_500);

    private static final AdviceTiming WIDE_TIMING = new AdviceTiming(20, 0.2, 2_500);

    /** Processor demand of a wide task: four of them fill a worker. */
    private static final long WIDE_PROCESSOR_MILLIS = 16_000;

    private static final int WIDE_TASKS = 8;
    private static final long WIDE_ESTIMATE_MILLISECONDS = 1_500;

    private final WorkflowCell cell = new WorkflowCell(7);
    private final ReplayAdvisor advisor =
            new ReplayAdvisor(
                    cell,
                    Map.of(
                            "quick",
                            new ReplayAdvisor.QueueAdvice(TIMING, 0.7),
                            "wide",
                            new ReplayAdvisor.QueueAdvice(WIDE_TIMING, 0.7)),
                    5);
    private final Map<JobId, RequestHandle> submissions = new HashMap<>();
    private final Map<JobId, CellReply> answers = new HashMap<>();

    @ParameterizedTest(name = "{0} quick, {1} wide a second, hole {2}: refuses {3}")
    @CsvSource({
        "12, 0, false, false",
        "0, 6, false, false",
        "8, 4, true, false",
        "90, 0, false, true",
        "0, 40, false, true",
        "60, 30, true, true",
    })
    void refusesOnlyWhatCannotBeServed(int quick, int wide, boolean hole, boolean refuses) {
        start();
        rush(2_000, 4, 2);
        if (hole) {
            cell.stopLeader();
            advisor.stopAll();
            cell.run(HOLE_MILLISECONDS);
            cell.startLeader();
            for (int daemon = 0; daemon < DAEMONS; daemon++) {
                advisor.startDaemon(daemon);
            }
            cell.run(500);
        }
        rush(RUSH_MILLISECONDS, quick, wide);
        rush(RUSH_MILLISECONDS, 0, 0);

        List<Refusal> refusals =
                answers.values().stream()
                        .filter(Refused.class::isInstance)
                        .map(answer -> ((Refused) answer).refusal())
                        .toList();
        assertThat(!refusals.isEmpty()).isEqualTo(refuses);
        assertThat(refusals)
                .allMatch(refusal -> refusal.code() == ErrorCode.OVERLOADED)
                .allMatch(refusal -> refusal.outcome() == ExecutionOutcome.NOT_RUN)
                .allMatch(refusal -> refusal.retryAfterMilliseconds().orElse(0L) >= 1_000);
        answers.forEach(this::checkOutcome);
    }

    /** Guards against callers that are told to return with work that can never be done. */
    @Test
    void hopelessWorkIsNotRefusedForLoad() {
        start();
        rush(RUSH_MILLISECONDS, 0, 40);
        assertThat(answers.values()).hasAtLeastOneElementOfType(Refused.class);
        for (int count = 0; count < 20; count++) {
            submit("/wide/", TestFleet.draft(WIDE_TASKS, 65_000));
        }
        List<JobId> hopeless = List.copyOf(submissions.keySet());
        rush(200, 0, 0);
        assertThat(hopeless)
                .hasSizeGreaterThanOrEqualTo(20)
                .extracting(answers::get)
                .doesNotHaveAnyElementsOfTypes(Refused.class);
        rush(6_000, 0, 0);
        assertThat(hopeless)
                .extracting(id -> cell.ledger.workflow(id).orElseThrow().state())
                .filteredOn(state -> state == WorkflowState.FAILED)
                .hasSizeGreaterThanOrEqualTo(20);
    }

    /** Guards against possible work that is refused since impossible work waits to be given up. */
    @Test
    void hopelessWorkIsNotCountedAsLoad() {
        start();
        rush(2_000, 0, 2);
        for (int count = 0; count < 200; count++) {
            submit("/wide/", TestFleet.draft(WIDE_TASKS, 65_000));
        }
        rush(2_000, 0, 6);
        assertThat(answers.values()).doesNotHaveAnyElementsOfTypes(Refused.class);
    }

    /** A refused workflow never runs; an accepted one is complete soon after the rush. */
    private void checkOutcome(JobId workflow, CellReply answer) {
        Optional<WorkflowState> state = cell.ledger.workflow(workflow).map(WorkflowEntry::state);
        if (answer instanceof Done) {
            assertThat(state).as(workflow.value()).contains(WorkflowState.COMPLETE);
        } else {
            assertThat(state).as(workflow.value()).isEmpty();
        }
    }

    private void start() {
        cell.answerListsPromptly();
        cell.checkEvery(500);
        cell.request(
                new ApplyConfiguration(
                        new FleetConfiguration(
                                1,
                                "document",
                                List.of(
                                        TestFleet.queue(
                                                "quick", "/quick/", 0, true, Optional.of(TIMING)),
                                        TestFleet.queue(
                                                "wide",
                                                "/wide/",
                                                1,
                                                true,
                                                Optional.of(WIDE_TIMING))),
                                List.of(new PoolDefinition(WorkflowCell.POOL, false, false)),
                                List.of())));
        cell.run(100);
        for (int index = 0; index < WORKERS; index++) {
            cell.addWorker("w-" + index, new Resources(64_000, 128_000, 0));
        }
        cell.workers
                .values()
                .forEach(worker -> worker.useRunTimes(StepDefinition::estimateMilliseconds));
        cell.run(2_000);
        advisor.addDaemons(DAEMONS);
    }

    private void rush(long milliseconds, int quickPerSecond, int widePerSecond) {
        long end = cell.now() + milliseconds;
        while (cell.now() < end) {
            if (isDue(quickPerSecond)) {
                submit("/quick/", TestFleet.draft(4, 1_000));
            }
            if (isDue(widePerSecond)) {
                submit("/wide/", wide());
            }
            cell.run(STEP_MILLISECONDS);
            advisor.advance();
            submissions.forEach(
                    (workflow, handle) -> {
                        if (cell.replies.containsKey(handle)) {
                            answers.put(workflow, cell.replies.get(handle));
                        }
                    });
            submissions.keySet().removeAll(answers.keySet());
        }
    }

    private boolean isDue(int perSecond) {
        return cell.random().nextDouble() < perSecond * STEP_MILLISECONDS / 1_000.0;
    }

    private void submit(String prefix, WorkflowDraft draft) {
        String id = "%016x".formatted(submissions.size() + answers.size() + 1);
        CallTarget target = new CallTarget("callers.example", prefix + id, Optional.empty());
        submissions.put(new JobId(id), cell.request(new SubmitWorkflowRequest(target, draft)));
    }

    private static WorkflowDraft wide() {
        StepDefinition step =
                StepDefinition.builder()
                        .tasks(WIDE_TASKS)
                        .demand(new Resources(WIDE_PROCESSOR_MILLIS, 100, 0))
                        .estimateMilliseconds(WIDE_ESTIMATE_MILLISECONDS)
                        .build();
        return new WorkflowDraft("payload", List.of(step), Optional.empty());
    }
}
