package org.marjoramnotch.logic.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.marjoramnotch.logic.workflow.TestFleet;
import org.marjoramnotch.model.message.ReleaseWorker;
import org.marjoramnotch.model.message.SubmitWorkflowRequest;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.WorkflowDraft;

/**
 * A worker drains, is cut off, announces its end and runs on for some seconds. Guards against a
 * second run of its tasks while it holds a lease.
 */
class LeavingWorkerTest {
    private static final int TASKS = 3;
    private static final long LONG_MILLISECONDS = 30_000;

    /** The links that are cut before the release. */
    private enum CutLinks {
        BOTH_WAYS,
        CALLS,
        CALLS_OF_LEADER
    }

    /** What happens after the release. */
    private enum Sequel {
        RUNS_ON,
        CHANGE_OF_LEADER,
        CUT_HEALS
    }

    static Stream<Arguments> ways() {
        return Arrays.stream(FleetNetwork.CutResponse.values())
                .flatMap(
                        response ->
                                Arrays.stream(CutLinks.values())
                                        .flatMap(
                                                links ->
                                                        Arrays.stream(Sequel.values())
                                                                .map(
                                                                        sequel ->
                                                                                Arguments.of(
                                                                                        response,
                                                                                        links,
                                                                                        sequel))));
    }

    @ParameterizedTest(name = "{0}, {1}, {2}")
    @MethodSource("ways")
    void taskStartsAgainOnlyOnceTheWorkerHasStoppedIt(
            FleetNetwork.CutResponse response, CutLinks links, Sequel sequel) {
        FleetSimulation cell = new FleetSimulation(1, 3, 2, false);
        cell.run(3_000);
        FleetWorkerNode leaving = cell.workers.get(0);
        FleetWorkerNode other = cell.workers.get(1);
        other.worker().orElseThrow().rejectCalls(true);
        submitTasks(cell);
        cell.run(1_000);
        assertThat(leaving.worker().orElseThrow().live()).hasSize(TASKS);
        other.worker().orElseThrow().rejectCalls(false);
        cell.run(6_000);
        leaving.drain();
        cell.reportNow(leaving);
        cell.run(500);

        FleetHost leader = leader(cell);
        for (FleetHost host : cell.hosts) {
            if (links != CutLinks.CALLS_OF_LEADER || host == leader) {
                cell.network.cut(host.machine, leaving.machine, response);
            }
            if (links == CutLinks.BOTH_WAYS) {
                cell.network.cut(leaving.machine, host.machine);
            }
        }
        cell.run(300);
        cell.request(new ReleaseWorker(leaving.id(), leaving.started()));
        cell.run(200);
        if (sequel == Sequel.CHANGE_OF_LEADER) {
            leader.losePower();
        } else if (sequel == Sequel.CUT_HEALS) {
            cell.run(1_500);
            cell.network.healAll();
        }
        cell.run(3_000);
        leaving.crash();
        cell.run(8_000);

        assertThat(cell.checker.violations()).isEmpty();
        assertThat(other.worker().orElseThrow().live()).hasSize(TASKS);
    }

    private static FleetHost leader(FleetSimulation cell) {
        return cell.hosts.stream().filter(FleetHost::isLeading).findFirst().orElseThrow();
    }

    private static void submitTasks(FleetSimulation cell) {
        String id = "%016x".formatted(1);
        StepDefinition step =
                StepDefinition.builder()
                        .tasks(TASKS)
                        .demand(new Resources(1_000, 100, 0))
                        .estimateMilliseconds(LONG_MILLISECONDS)
                        .build();
        WorkflowDraft draft = new WorkflowDraft("payload", List.of(step), Optional.empty());
        cell.register(id, draft);
        cell.request(new SubmitWorkflowRequest(TestFleet.target(id), draft));
    }
}
