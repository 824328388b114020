package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.message.ApplyConfiguration;
import org.marjoramnotch.model.message.BeginEvacuationRequest;
import org.marjoramnotch.model.message.SubmitWorkflowRequest;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.WorkflowDraft;

/** Standing tasks of two steps whose workers are in a zone that is evacuated. */
class StandingTaskMoveTest {
    private static final AvailabilityZone ZONE = new AvailabilityZone("zone-a");
    private static final AvailabilityZone OTHER_ZONE = new AvailabilityZone("zone-b");
    private static final int TASKS = 4;

    /** A move takes a second until the next check, a stop and a start; two steps move at once. */
    private static final long MOVES_MILLISECONDS = 25_000;

    private final WorkflowCell cell = new WorkflowCell(5);
    private int fewestAtWork = Integer.MAX_VALUE;

    /**
     * Guards against tasks that stay in the zone, and against more tasks of a step being absent at
     * once than it allows.
     */
    @ParameterizedTest(name = "most absent {0}, cores elsewhere {1}, {2}: {3} move")
    @CsvSource({
        "1, 8, NONE, 8",
        "2, 8, NONE, 8",
        "0, 8, NONE, 0",
        "1, 0, NONE, 0",
        "1, 3, NONE, 3",
        "1, 8, LEADER_CHANGES, 8",
        "1, 8, CALLS_LOST, 8",
        "1, 8, ZONE_HANGS, 8",
        "1, 8, STOPS_UNANSWERED, 8",
        "1, 8, STARTS_UNANSWERED, 8"
    })
    void standingTasksMoveOneByOneIfThereIsRoom(
            int mostAbsent, long cores, String failure, int moved) {
        start(mostAbsent, cores);
        cell.request(new BeginEvacuationRequest(ZONE));
        cell.run(100);
        cell.afterEachStep(() -> fewestAtWork = Math.min(fewestAtWork, atWork()));
        if (failure.equals("CALLS_LOST")) {
            cell.loseCalls(0.1);
        }
        for (long passed = 0; passed < MOVES_MILLISECONDS; passed += 2_300) {
            if (failure.equals("LEADER_CHANGES") && passed < 10_000) {
                cell.changeLeader();
            }
            cell.hang(new WorkerId("w-a"), failure.equals("ZONE_HANGS") && passed == 2_300);
            cell.network.ignoreOrders(
                    new WorkerId("w-a"), failure.equals("STOPS_UNANSWERED") && passed < 4_600);
            cell.network.ignoreOrders(
                    new WorkerId("w-b"), failure.equals("STARTS_UNANSWERED") && passed < 4_600);
            cell.run(2_300);
        }
        assertThat(liveIn(OTHER_ZONE)).isEqualTo(moved);
        assertThat(liveIn(ZONE)).isEqualTo(2 * TASKS - moved);
        if (!failure.equals("LEADER_CHANGES")) {
            assertThat(DecisionFields.of(cell.decisionLog, "standing_task_moved")).hasSize(moved);
        }
        assertThat(fewestAtWork).isGreaterThanOrEqualTo(moved == 0 ? TASKS : TASKS - 1);
    }

    private void start(int mostAbsent, long cores) {
        cell.request(new ApplyConfiguration(TestFleet.configuration(1)));
        cell.run(100);
        addWorker("w-a", ZONE, 8);
        cell.run(1_000);
        StepDefinition step =
                StepDefinition.builder()
                        .tasks(TASKS)
                        .demand(new Resources(1_000, 100, 0))
                        .estimateMilliseconds(60_000)
                        .standing(true)
                        .mostAbsent(mostAbsent)
                        .build();
        for (String id : List.of("0123456789abcdef", "fedcba9876543210")) {
            cell.request(
                    new SubmitWorkflowRequest(
                            TestFleet.target(id),
                            new WorkflowDraft("payload", List.of(step), Optional.empty())));
        }
        cell.run(1_000);
        assertThat(liveIn(ZONE)).isEqualTo(2 * TASKS);
        addWorker("w-b", OTHER_ZONE, cores);
        cell.run(2_000);
    }

    private void addWorker(String name, AvailabilityZone zone, long cores) {
        cell.addWorker(
                new FleetWorker(
                        new WorkerIncarnation(new WorkerId(name), WorkflowCell.EPOCH + cell.now()),
                        WorkflowCell.POOL,
                        "10.0.0.1:80",
                        zone,
                        new Resources(1_000 * cores, 16_000, 0),
                        List.of("a", "rack-1"),
                        false));
    }

    private int liveIn(AvailabilityZone zone) {
        return cell.workers.values().stream()
                .filter(worker -> worker.worker().availabilityZone().equals(zone))
                .mapToInt(worker -> worker.live().size())
                .sum();
    }

    /** Returns the number of live tasks of the step that has fewer of them. */
    private int atWork() {
        long first =
                cell.workers.values().stream()
                        .flatMap(worker -> worker.live().stream())
                        .filter(run -> run.run.toString().startsWith("0123456789abcdef"))
                        .count();
        long all = cell.workers.values().stream().mapToInt(worker -> worker.live().size()).sum();
        return (int) Math.min(first, all - first);
    }
}
