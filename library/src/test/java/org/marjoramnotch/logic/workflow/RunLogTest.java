package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.marjoramnotch.model.command.DismissWorker;
import org.marjoramnotch.model.command.EndRuns;
import org.marjoramnotch.model.command.StartRuns;
import org.marjoramnotch.model.command.WorkflowCommand;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.order.CallOutcome;
import org.marjoramnotch.model.order.RunEndReport;
import org.marjoramnotch.model.workflow.RunEnd;
import org.marjoramnotch.model.workflow.RunEndEffect;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.RunOutcome;
import org.marjoramnotch.model.workflow.RunPlacement;

/** The effect of an end on the ledger, and what the log tells of it. */
class RunLogTest extends WorkerSessionTestCase {
    private static final WorkerIncarnation W_1 = new WorkerIncarnation(new WorkerId("w-1"), 1);
    private static final WorkerIncarnation OTHER_LIFE = new WorkerIncarnation(W_1.worker(), 2);

    private final List<String> counted = new ArrayList<>();
    private RunLog log = new RunLog(ledger, 1, RunMetricsListener.NONE);

    @BeforeEach
    void startFirstRun() {
        startWorkflow(new RunPlacement(new RunId(TASK, 1), W_1, ""));
        log =
                new RunLog(
                        ledger,
                        1_025,
                        new RunMetricsListener() {
                            @Override
                            public void onEndApplied(RunEndSource source, RunEndEffect effect) {
                                counted.add(source + " " + effect);
                            }
                        });
    }

    private static EndRuns end(WorkerIncarnation worker, long run, RunOutcome outcome) {
        return new EndRuns(worker, List.of(new RunEnd(new RunId(TASK, run), outcome, "")));
    }

    private static StartRuns start(long run) {
        return new StartRuns(List.of(new RunPlacement(new RunId(TASK, run), W_1, "")));
    }

    static Stream<Arguments> ends() {
        EndRuns lapsed = end(W_1, 1, RunOutcome.LAPSED);
        EndRuns done = end(W_1, 1, RunOutcome.DONE);
        return Stream.of(
                Arguments.of(List.of(), done, RunEndEffect.ENDED),
                Arguments.of(List.of(lapsed), done, RunEndEffect.COMPLETED),
                Arguments.of(List.of(new DismissWorker(W_1)), done, RunEndEffect.COMPLETED),
                Arguments.of(List.of(lapsed), lapsed, RunEndEffect.ALREADY_ENDED),
                Arguments.of(List.of(lapsed, start(2)), done, RunEndEffect.LATER_RUN),
                Arguments.of(List.of(done), done, RunEndEffect.WORKFLOW_ENDED),
                Arguments.of(List.of(), end(W_1, 2, RunOutcome.DONE), RunEndEffect.NEVER_STARTED),
                Arguments.of(
                        List.of(), end(OTHER_LIFE, 1, RunOutcome.DONE), RunEndEffect.OTHER_WORKER));
    }

    @ParameterizedTest
    @MethodSource("ends")
    void endIsLoggedWithItsEffect(List<WorkflowCommand> before, EndRuns ends, RunEndEffect effect) {
        before.forEach(ledger::apply);
        assertThat(ledger.effectOf(ends.worker(), ends.ends().get(0))).isEqualTo(effect);
        RunEndReport report = new RunEndReport(7, ends.ends().get(0));
        log.onProposed(
                ends,
                EndOrigin.ofList(
                        new CallOutcome.Listed(
                                91, 0, OptionalLong.of(1), List.of(), List.of(report))));
        log.onApplied(ends, ledger.apply(ends), output);

        String event = effect.isEffective() ? "run_ended" : "end_without_effect";
        assertThat(DecisionFields.only(decisionLog, event))
                .containsEntry("run", ends.ends().get(0).run().toString())
                .containsEntry("worker", "w-1")
                .containsEntry("outcome", ends.ends().get(0).outcome().name())
                .containsEntry("source", "LIST")
                .containsEntry("effect", effect.name())
                .containsEntry("number", "7")
                .containsEntry("call", "91")
                .containsEntry("token", "1025");
        assertThat(decisionLog).hasSize(1);
        assertThat(counted).containsExactly("LIST " + effect);
    }

    @Test
    void endOfDismissedWorkerIsLogged() {
        DismissWorker dismiss = new DismissWorker(W_1);
        log.onEnded(
                W_1.worker(),
                EndOrigin.of(RunEndSource.WORKER_DISMISSED),
                ledger.apply(dismiss),
                output);

        assertThat(DecisionFields.only(decisionLog, "run_ended"))
                .containsEntry("outcome", "LAPSED")
                .containsEntry("source", "WORKER_DISMISSED");
    }

    @Test
    void endThatThisLeaderDidNotProposeIsToldApart() {
        EndRuns ends = end(W_1, 1, RunOutcome.DONE);
        log.onApplied(ends, ledger.apply(ends), output);

        assertThat(DecisionFields.only(decisionLog, "run_ended"))
                .containsEntry("source", "OTHER_LEADER")
                .containsEntry("call", "none");
    }
}
