package org.marjoramnotch.logic.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramnotch.logic.workflow.TestFleet;
import org.marjoramnotch.model.message.SubmitWorkflowRequest;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.WorkflowDraft;

class RestartedWorkerTest {
    private static final String WORKFLOW = "00000000000000a1";
    private static final int TASKS = 4;

    /**
     * Returns a cell in which one of two workers has restarted under its name and carried out a
     * start that was meant for its earlier incarnation, before it can report.
     */
    private static FleetSimulation restartWorker(long seed, long reportsLostMilliseconds) {
        FleetSimulation cell = new FleetSimulation(seed, 3, 2, false);
        cell.run(3_000);
        FleetWorkerNode restarted = cell.workers.get(0);
        restarted.reportsLostUntil =
                cell.timeline.now() + reportsLostMilliseconds * MicrosecondTimeline.MILLISECOND;
        restarted.crash();
        restarted.start();
        StepDefinition step =
                StepDefinition.builder()
                        .tasks(TASKS)
                        .demand(new Resources(1_000, 100, 0))
                        .estimateMilliseconds(400)
                        .build();
        WorkflowDraft draft = new WorkflowDraft("payload", List.of(step), Optional.empty());
        cell.register(WORKFLOW, draft);
        cell.request(new SubmitWorkflowRequest(TestFleet.target(WORKFLOW), draft));
        cell.run(100);
        return cell;
    }

    /** The tasks were blocked for one lease only, and the next incarnation held a longer one. */
    @ParameterizedTest(name = "seed {0}")
    @ValueSource(longs = {1, 6, 7, 9, 10})
    void taskIsNotStartedAgainWhileRestartedWorkerIsNotEnrolled(long seed) {
        FleetSimulation cell = restartWorker(seed, 6_500);
        cell.run(12_000);
        assertThat(cell.checker.violations()).isEmpty();
    }

    /** The next leader dismissed the worker and did not block the tasks. */
    @ParameterizedTest(name = "seed {0}")
    @ValueSource(longs = {1, 2, 5, 6, 7, 9, 10, 11})
    void taskIsNotStartedAgainByLeaderAfterRestartOfWorker(long seed) {
        FleetSimulation cell = restartWorker(seed, 2_500);
        cell.hosts.stream().filter(FleetHost::isLeading).findFirst().orElseThrow().losePower();
        cell.run(12_000);
        assertThat(cell.checker.violations()).isEmpty();
    }
}
