package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.message.ApplyConfiguration;
import org.marjoramnotch.model.message.BeginEvacuationRequest;
import org.marjoramnotch.model.message.CellRequest;
import org.marjoramnotch.model.message.Done;
import org.marjoramnotch.model.message.FinishEvacuationRequest;
import org.marjoramnotch.model.message.SubmitWorkflowRequest;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.WorkflowDraft;
import org.marjoramnotch.model.workflow.WorkflowState;

/** Evacuates availability zones under load and with failures, in virtual time. */
class EvacuationTest {
    private static final AvailabilityZone ZONE = new AvailabilityZone("zone-a");
    private static final AvailabilityZone OTHER_ZONE = new AvailabilityZone("zone-b");
    private static final AvailabilityZone THIRD_ZONE = new AvailabilityZone("zone-c");
    private static final Resources CORE = new Resources(1_000, 100, 0);
    private static final WorkerId WORKER = new WorkerId("w-a1");

    /** An order is repeated for so long; later than so long after it no start may arrive. */
    private static final long BOUND_MILLISECONDS = 5_000;

    private static final long STANDING_MILLISECONDS = 25_000;
    private static final int STANDING_TASKS = 4;

    private final WorkflowCell cell = new WorkflowCell(11);
    private final Map<AvailabilityZone, Long> lastStartAt = new HashMap<>();
    private final List<String> submitted = new ArrayList<>();
    private long fewestAtWork = Long.MAX_VALUE;

    /** What goes wrong from the first order on. */
    enum Failure {
        NONE(cell -> {}),
        LEADER_CHANGES_BEFORE_CONFIRMATION(cell -> cell.runLater(20, cell::changeLeader)),
        COMMITS_STALL(cell -> cell.delayCommits(900)),
        ORDERS_UNANSWERED_AND_LATE(cell -> cell.loseCalls(0.3)),
        WORKER_OF_ZONE_HANGS(cell -> cell.hang(WORKER, true)),
        ROLLING_STOP(
                cell -> {
                    for (long at = 10; at < 2_000; at += 700) {
                        cell.runLater(at, cell::stopLeader);
                        cell.runLater(at + 400, cell::startLeader);
                    }
                }),
        RESTART_FROM_SNAPSHOT(
                cell -> {
                    cell.runLater(20, cell::restartFromSnapshot);
                    cell.runLater(2_000, cell::restartFromSnapshot);
                });

        private final Consumer<WorkflowCell> start;

        Failure(Consumer<WorkflowCell> start) {
            this.start = start;
        }
    }

    @BeforeEach
    void configure() {
        cell.request(new ApplyConfiguration(TestFleet.configuration(1)));
        cell.run(100);
    }

    /**
     * Guards against a confirmed evacuation that a failure undoes or that misses a worker, and
     * against work that is lost or run twice because its start was withdrawn.
     */
    @ParameterizedTest
    @EnumSource(Failure.class)
    void noStartReachesEvacuatedZoneAndAllWorkIsDone(Failure failure) {
        addWorkers();
        submitFor(1_000);
        failure.start.accept(cell);
        long confirmedAt = order(BeginEvacuationRequest::new, ZONE);
        addWorker("w-a3", ZONE, 4);
        submitFor(4_000);
        cell.loseCalls(0);
        cell.hang(WORKER, false);
        cell.run(20_000);
        assertThat(lastStartAt.get(ZONE)).isLessThanOrEqualTo(confirmedAt + BOUND_MILLISECONDS);
        assertThat(lastStartAt.get(OTHER_ZONE)).isGreaterThan(confirmedAt);
        assertThat(cell.ledger.evacuations().isEvacuated(ZONE)).isTrue();
        assertAllComplete();
    }

    @Test
    void twoZonesAreEvacuatedAtOnceAndUsedAgain() {
        addWorkers();
        submitFor(500);
        order(BeginEvacuationRequest::new, ZONE);
        order(BeginEvacuationRequest::new, OTHER_ZONE);
        submitFor(3_000);
        long finishedAt = order(FinishEvacuationRequest::new, ZONE);
        assertThat(lastStartAt.get(ZONE)).isLessThan(finishedAt);
        submitFor(8_000);
        assertThat(lastStartAt.get(ZONE)).isGreaterThan(finishedAt);
        assertThat(lastStartAt.get(OTHER_ZONE)).isLessThan(finishedAt);
        cell.run(5_000);
        assertAllComplete();
    }

    /** Guards against an order that is confirmed by the commit of an earlier one of its kind. */
    @Test
    void lastOfOrdersInQuickSuccessionIsInForce() {
        addWorkers();
        cell.delayCommits(300);
        RequestHandle first = cell.request(new BeginEvacuationRequest(ZONE));
        cell.request(new FinishEvacuationRequest(ZONE));
        RequestHandle last = cell.request(new BeginEvacuationRequest(ZONE));
        while (!cell.replies.containsKey(last)) {
            cell.run(5);
        }
        assertThat(cell.replies).containsEntry(first, new Done()).containsEntry(last, new Done());
        assertThat(cell.ledger.evacuations().isEvacuated(ZONE)).isTrue();
    }

    /** A late copy of an order cannot be told from a new one; the log must show that it came. */
    @Test
    void lateCopyOfBeginTakesEffectAndIsLogged() {
        addWorkers();
        order(BeginEvacuationRequest::new, ZONE);
        order(BeginEvacuationRequest::new, ZONE);
        order(FinishEvacuationRequest::new, ZONE);
        order(BeginEvacuationRequest::new, ZONE);
        assertThat(cell.ledger.evacuations().isEvacuated(ZONE)).isTrue();
        assertThat(DecisionFields.of(cell.decisionLog, "evacuation_begun"))
                .extracting(fields -> fields.get("outcome") + " " + fields.get("last_end").length())
                .containsExactly("EFFECTIVE 1", "REPEATED 1", "EFFECTIVE 13");
    }

    /** Guards against work that is failed because the only workers for it are evacuated. */
    @Test
    void workForEvacuatedZoneWaitsAndRunsAfterwards() {
        addWorkers();
        order(BeginEvacuationRequest::new, ZONE);
        submit(step().requiredLabel(Optional.of(ZONE.value())));
        cell.run(20_000);
        assertThat(cell.ledger.active()).hasSize(1);
        order(FinishEvacuationRequest::new, ZONE);
        submit(step());
        cell.run(2_000);
        assertThat(lastStartAt).as("cold workers rank behind").hasSize(2);
        assertAllComplete();
    }

    /**
     * Guards against standing tasks that stay in the zone, and against more tasks of a step being
     * absent at once than it allows.
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
        addWorker(WORKER.value(), ZONE, 8);
        cell.run(1_000);
        submit(step().tasks(STANDING_TASKS).standing(true).mostAbsent(mostAbsent));
        submit(step().tasks(STANDING_TASKS).standing(true).mostAbsent(mostAbsent));
        cell.run(1_000);
        addWorker("w-b1", OTHER_ZONE, cores);
        cell.run(2_000);
        order(BeginEvacuationRequest::new, ZONE);
        cell.afterEachStep(() -> fewestAtWork = Math.min(fewestAtWork, fewerLive()));
        cell.loseCalls(failure.equals("CALLS_LOST") ? 0.1 : 0);
        for (long passed = 0; passed < STANDING_MILLISECONDS; passed += 2_300) {
            if (failure.equals("LEADER_CHANGES") && passed < 10_000) {
                cell.changeLeader();
            }
            boolean early = passed < 4_600;
            cell.hang(WORKER, failure.equals("ZONE_HANGS") && passed == 2_300);
            cell.network.ignoreOrders(WORKER, failure.equals("STOPS_UNANSWERED") && early);
            cell.network.ignoreOrders(
                    new WorkerId("w-b1"), failure.equals("STARTS_UNANSWERED") && early);
            cell.run(2_300);
        }
        assertThat(cell.workers.get(new WorkerId("w-b1")).live()).hasSize(moved);
        assertThat(cell.workers.get(WORKER).live()).hasSize(2 * STANDING_TASKS - moved);
        if (!failure.equals("LEADER_CHANGES")) {
            assertThat(DecisionFields.of(cell.decisionLog, "standing_task_moved")).hasSize(moved);
        }
        assertThat(fewestAtWork).isGreaterThanOrEqualTo(STANDING_TASKS - Math.min(1, moved));
    }

    /** Returns the number of live tasks of the workflow that has fewer of them. */
    private long fewerLive() {
        return submitted.stream()
                .mapToLong(
                        id ->
                                cell.workers.values().stream()
                                        .flatMap(worker -> worker.live().stream())
                                        .filter(run -> run.run.toString().startsWith(id))
                                        .count())
                .min()
                .orElseThrow();
    }

    private void addWorkers() {
        for (AvailabilityZone zone : List.of(ZONE, OTHER_ZONE, THIRD_ZONE)) {
            String prefix = zone.value().replace("zone", "w");
            addWorker(prefix + "1", zone, 4);
            addWorker(prefix + "2", zone, 4);
        }
        cell.run(1_000);
    }

    private void addWorker(String name, AvailabilityZone zone, long cores) {
        WorkerId id = new WorkerId(name);
        cell.addWorker(
                new FleetWorker(
                        new WorkerIncarnation(id, WorkflowCell.EPOCH + cell.now()),
                        WorkflowCell.POOL,
                        "10.0.0.1:80",
                        zone,
                        new Resources(1_000 * cores, 16_000, 0),
                        List.of(zone.value(), "rack-1"),
                        false));
        cell.workers
                .get(id)
                .setListener(
                        new FleetWorkerListener() {
                            @Override
                            public void onStarted(RunId run) {
                                lastStartAt.put(zone, cell.now());
                            }
                        });
    }

    /** Repeats an order as an operator does; returns when it was confirmed. */
    private long order(Function<AvailabilityZone, CellRequest> order, AvailabilityZone zone) {
        for (long end = cell.now() + BOUND_MILLISECONDS; cell.now() < end; ) {
            RequestHandle handle = cell.request(order.apply(zone));
            for (int waited = 0; waited < 250; waited += 5) {
                cell.run(5);
                if (new Done().equals(cell.replies.get(handle))) {
                    return cell.now();
                }
            }
        }
        throw new AssertionError("the order was not confirmed in time");
    }

    private void submitFor(long milliseconds) {
        for (long passed = 0; passed < milliseconds; passed += 50) {
            submit(step());
            cell.run(50);
        }
    }

    private static StepDefinition.Builder step() {
        return StepDefinition.builder().demand(CORE).estimateMilliseconds(400);
    }

    private void submit(StepDefinition.Builder step) {
        String id = String.format("%016x", submitted.size() + 1);
        WorkflowDraft draft = new WorkflowDraft("payload", List.of(step.build()), Optional.empty());
        cell.request(new SubmitWorkflowRequest(TestFleet.target(id), draft));
        submitted.add(id);
    }

    /** Submissions that arrived without a leader, or whose command was lost, are not accepted. */
    private void assertAllComplete() {
        assertThat(submitted)
                .flatExtracting(id -> cell.ledger.workflow(new JobId(id)).stream().toList())
                .hasSizeGreaterThan(submitted.size() / 2)
                .allMatch(entry -> entry.state() == WorkflowState.COMPLETE);
    }
}
