package org.marjoramnotch.logic.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.marjoramnotch.logic.workflow.TestFleet;
import org.marjoramnotch.model.message.SubmitWorkflowRequest;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.WorkflowDraft;

/**
 * A worker restarts under its name and carries out a start for its earlier life, with a lease by
 * the clock of that one. Within that lease it gets tasks of its own and is cut off. Guards against
 * a second run of these tasks before the lease is over.
 */
class InheritedLeaseTest {
    private static final Resources DEMAND = new Resources(1_000, 100, 0);
    private static final int TASKS_PER_WORKER = 4;
    private static final long LONG_MILLISECONDS = 30_000;
    private static final long SEEDS = 3;

    /** How the worker is lost after its restart. */
    private enum Loss {
        SILENT_CUT {
            @Override
            void begin(FleetSimulation cell, FleetWorkerNode worker) {
                cut(cell, worker, FleetNetwork.CutResponse.SILENCE, true);
            }
        },
        REFUSING_CUT {
            @Override
            void begin(FleetSimulation cell, FleetWorkerNode worker) {
                cut(cell, worker, FleetNetwork.CutResponse.REFUSED_CONNECTION, true);
            }
        },
        RESETTING_CUT {
            @Override
            void begin(FleetSimulation cell, FleetWorkerNode worker) {
                cut(cell, worker, FleetNetwork.CutResponse.RESET_CONNECTION, true);
            }
        },
        CALLS_CUT_ONE_WAY {
            @Override
            void begin(FleetSimulation cell, FleetWorkerNode worker) {
                cut(cell, worker, FleetNetwork.CutResponse.SILENCE, false);
            }
        },
        ANSWERS_CUT_ONE_WAY {
            @Override
            void begin(FleetSimulation cell, FleetWorkerNode worker) {
                cell.hosts.forEach(host -> cell.network.cut(worker.machine, host.machine));
            }
        },
        CUT_WITH_CHANGE_OF_LEADER {
            @Override
            void begin(FleetSimulation cell, FleetWorkerNode worker) {
                cut(cell, worker, FleetNetwork.CutResponse.SILENCE, true);
                leader(cell).losePower();
            }
        },
        CUT_AFTER_CHANGE_OF_LEADER {
            @Override
            void begin(FleetSimulation cell, FleetWorkerNode worker) {
                leader(cell).losePower();
                cell.run(1_200);
                cut(cell, worker, FleetNetwork.CutResponse.REFUSED_CONNECTION, true);
            }
        };

        abstract void begin(FleetSimulation cell, FleetWorkerNode worker);

        private static void cut(
                FleetSimulation cell,
                FleetWorkerNode worker,
                FleetNetwork.CutResponse response,
                boolean bothWays) {
            for (FleetHost host : cell.hosts) {
                cell.network.cut(host.machine, worker.machine, response);
                if (bothWays) {
                    cell.network.cut(worker.machine, host.machine);
                }
            }
        }

        private static FleetHost leader(FleetSimulation cell) {
            return cell.hosts.stream().filter(FleetHost::isLeading).findFirst().orElseThrow();
        }
    }

    static Stream<Arguments> losses() {
        return Arrays.stream(Loss.values())
                .flatMap(
                        loss ->
                                LongStream.rangeClosed(1, SEEDS)
                                        .mapToObj(seed -> Arguments.of(loss, seed)));
    }

    @ParameterizedTest(name = "{0}, seed {1}")
    @MethodSource("losses")
    void taskStartsAgainOnlyOnceTheInheritedLeaseIsOver(Loss loss, long seed) {
        FleetSimulation cell = new FleetSimulation(seed, 3, 3, false);
        cell.run(3_000);
        FleetWorkerNode restarted = cell.workers.get(0);
        FleetWorkerNode spare = cell.workers.get(2);
        spare.worker().orElseThrow().rejectCalls(true);
        submit(cell, 1, 1, 400);
        cell.run(1_000);
        restarted.reportsLostUntil = cell.timeline.now() + 300 * MicrosecondTimeline.MILLISECOND;
        restarted.crash();
        restarted.start();
        submit(cell, 2, 2 * TASKS_PER_WORKER, 400);
        cell.run(2_000);
        submit(cell, 3, 2 * TASKS_PER_WORKER, LONG_MILLISECONDS);
        for (int step = 0; step < 60 && restarted.worker().orElseThrow().live().isEmpty(); step++) {
            cell.run(100);
        }
        cell.run(100);
        int atWork = restarted.worker().orElseThrow().live().size();
        assertThat(atWork).isPositive();

        loss.begin(cell, restarted);
        spare.worker().orElseThrow().rejectCalls(false);
        cell.run(16_000);

        assertThat(cell.checker.violations()).isEmpty();
        assertThat(spare.worker().orElseThrow().live()).hasSizeGreaterThanOrEqualTo(atWork);
    }

    private static void submit(FleetSimulation cell, int number, int tasks, long estimate) {
        String id = "%016x".formatted(number);
        StepDefinition step =
                StepDefinition.builder()
                        .tasks(tasks)
                        .demand(DEMAND)
                        .estimateMilliseconds(estimate)
                        .build();
        WorkflowDraft draft = new WorkflowDraft("payload", List.of(step), Optional.empty());
        cell.register(id, draft);
        cell.request(new SubmitWorkflowRequest(TestFleet.target(id), draft));
    }
}
