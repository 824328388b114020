package org.marjoramnotch.logic.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.logic.leader.LogPosition;
import org.marjoramnotch.model.command.EndRuns;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.workflow.RunEnd;
import org.marjoramnotch.model.workflow.RunEndEffect;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.RunOutcome;
import org.marjoramnotch.model.workflow.StepId;
import org.marjoramnotch.model.workflow.WorkflowTaskId;

class InheritedRunLogTest {
    private static final RunId RUN =
            new RunId(new WorkflowTaskId(new StepId(new JobId("0123456789abcdef"), 0, 0), 0), 1);
    private static final EndRuns END =
            new EndRuns(
                    new WorkerIncarnation(new WorkerId("w-1"), 1),
                    List.of(new RunEnd(RUN, RunOutcome.DONE, "")));

    private final ScriptedLog log = new ScriptedLog();
    private final CellCore core = log.newCore();

    private List<DecisionLogEntry> applyEnd() {
        log.propose(0, log.codec.encode(END));
        log.commitAll();
        core.tick(1);
        return core.takeEffects(1).decisionLog().stream()
                .filter(decision -> decision.event().equals("inherited_end"))
                .toList();
    }

    @Test
    void leaderLogsEndsThatAreAppliedBeforeItsDutiesBegin() {
        log.leaseLapsed = true;

        assertThat(applyEnd())
                .containsExactly(
                        DecisionLogEntry.of(
                                        "inherited_end",
                                        "run",
                                        RUN,
                                        "worker",
                                        "none",
                                        "outcome",
                                        RunOutcome.DONE,
                                        "effect",
                                        RunEndEffect.UNKNOWN_TASK)
                                .at(new LogPosition(1, 0)));
    }

    @Test
    void dutiesBeginWithTokenAndPosition() {
        core.tick(0);

        assertThat(core.takeEffects(0).decisionLog())
                .contains(
                        DecisionLogEntry.of("leader_duties_started", "fencing_token", 1_025L)
                                .at(new LogPosition(1, 0)));
    }

    @Test
    void otherReplicasLogNothing() {
        log.ready = false;

        assertThat(applyEnd()).isEmpty();
    }

    @Test
    void endsThatTheDutiesSeeAreNotInherited() {
        core.tick(0);

        assertThat(applyEnd()).isEmpty();
    }
}
