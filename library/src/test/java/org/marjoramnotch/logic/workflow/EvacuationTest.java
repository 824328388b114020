package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
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
    private static final Resources CAPACITY = new Resources(4_000, 16_000, 0);

    /** An operator repeats an order until it is confirmed, for at most so long. */
    private static final long ORDER_BOUND_MILLISECONDS = 5_000;

    /** Time after the confirmation from which on no start may reach a worker of the zone. */
    private static final long EVACUATION_BOUND_MILLISECONDS = 5_000;

    private static final long ORDER_INTERVAL_MILLISECONDS = 250;
    private static final long SUBMIT_INTERVAL_MILLISECONDS = 50;

    private final WorkflowCell cell = new WorkflowCell(11);
    private final Map<AvailabilityZone, Long> lastStartAt = new HashMap<>();
    private final List<String> submitted = new ArrayList<>();

    /** What goes wrong from the first order on. */
    enum Failure {
        NONE(test -> {}),
        LEADER_CHANGES_BEFORE_CONFIRMATION(test -> test.cell.runLater(20, test.cell::changeLeader)),
        COMMITS_STALL(test -> test.cell.delayCommits(900)),
        ORDERS_UNANSWERED_AND_LATE(test -> test.cell.loseCalls(0.3)),
        WORKERS_OF_ZONE_HANG(
                test -> test.workersOf(ZONE).forEach(worker -> test.cell.hang(worker, true))),
        ROLLING_STOP(
                test -> {
                    for (int stop = 0; stop < 3; stop++) {
                        test.cell.runLater(10 + 700L * stop, test.cell::stopLeader);
                        test.cell.runLater(410 + 700L * stop, test.cell::startLeader);
                    }
                }),
        RESTART_FROM_SNAPSHOT(
                test -> {
                    test.cell.runLater(20, test.cell::restartFromSnapshot);
                    test.cell.runLater(2_000, test.cell::restartFromSnapshot);
                }),
        WORKER_ENROLLS_IN_ZONE(test -> test.cell.runLater(300, () -> test.addWorker("w-a9", ZONE)));

        private final Consumer<EvacuationTest> start;

        Failure(Consumer<EvacuationTest> start) {
            this.start = start;
        }
    }

    /**
     * Guards against a confirmed evacuation that a failure undoes, and against work that is lost or
     * run twice because its start was withdrawn.
     */
    @ParameterizedTest
    @EnumSource(Failure.class)
    void noStartReachesEvacuatedZoneAndAllWorkIsDone(Failure failure) {
        start();
        submitFor(1_000);
        failure.start.accept(this);
        long confirmedAt = order(BeginEvacuationRequest::new, ZONE);
        submitFor(4_000);
        cell.loseCalls(0);
        workersOf(ZONE).forEach(worker -> cell.hang(worker, false));
        cell.run(20_000);
        assertThat(lastStartAt.get(ZONE))
                .isLessThanOrEqualTo(confirmedAt + EVACUATION_BOUND_MILLISECONDS);
        assertThat(lastStartAt.get(OTHER_ZONE)).isGreaterThan(confirmedAt);
        assertThat(cell.ledger.evacuations().isEvacuated(ZONE)).isTrue();
        assertAllComplete();
    }

    @Test
    void twoZonesAreEvacuatedAtOnceAndUsedAgain() {
        start();
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
        start();
        cell.delayCommits(300);
        List<CellRequest> orders =
                List.of(
                        new BeginEvacuationRequest(ZONE),
                        new FinishEvacuationRequest(ZONE),
                        new BeginEvacuationRequest(ZONE));
        List<RequestHandle> handles = orders.stream().map(cell::request).toList();
        while (!cell.replies.containsKey(handles.get(2))) {
            cell.run(5);
        }
        assertThat(handles).allMatch(handle -> cell.replies.get(handle).equals(new Done()));
        assertThat(cell.ledger.evacuations().isEvacuated(ZONE)).isTrue();
    }

    /** A late copy of an order cannot be told from a new one; the log must show that it came. */
    @Test
    void lateCopyOfBeginTakesEffectAndIsLogged() {
        start();
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
        start();
        order(BeginEvacuationRequest::new, ZONE);
        StepDefinition step =
                StepDefinition.builder()
                        .demand(new Resources(1_000, 100, 0))
                        .estimateMilliseconds(400)
                        .requiredLabel(Optional.of(ZONE.value()))
                        .build();
        submit(new WorkflowDraft("payload", List.of(step), Optional.empty()));
        cell.run(20_000);
        assertThat(state(submitted.get(0))).isEqualTo(WorkflowState.QUEUED);
        order(FinishEvacuationRequest::new, ZONE);
        cell.run(2_000);
        assertAllComplete();
    }

    /** Guards against work on workers that are slow for some seconds while others have room. */
    @Test
    void workersAreUsedAfterOthersWhileTheyMayBeCold() {
        start();
        order(BeginEvacuationRequest::new, ZONE);
        long finishedAt = order(FinishEvacuationRequest::new, ZONE);
        for (int round = 0; round < 15; round++) {
            submit(TestFleet.draft(1, 1_000));
            cell.run(300);
        }
        assertThat(lastStartAt).doesNotContainKey(ZONE);
        submitFor(3_000);
        assertThat(lastStartAt.get(ZONE)).isGreaterThan(finishedAt + 4_500);
        cell.run(5_000);
        assertAllComplete();
    }

    /** Guards against runs that an evacuation ends instead of letting them finish. */
    @Test
    void runsInTheZoneContinueToTheirEnd() {
        start();
        submitFor(500);
        Set<RunId> before = runsIn(ZONE);
        assertThat(before).isNotEmpty();
        order(BeginEvacuationRequest::new, ZONE);
        cell.run(5_000);
        assertThat(DecisionFields.of(cell.decisionLog, "run_ended"))
                .filteredOn(fields -> before.stream().anyMatch(run -> isOf(fields, run)))
                .extracting(fields -> fields.get("outcome"))
                .containsOnly("DONE");
        assertThat(cell.ledger.workers()).hasSize(6);
    }

    private static boolean isOf(Map<String, String> fields, RunId run) {
        return run.toString().equals(fields.get("run"));
    }

    private void start() {
        cell.request(new ApplyConfiguration(TestFleet.configuration(1)));
        cell.run(100);
        for (AvailabilityZone zone : List.of(ZONE, OTHER_ZONE, THIRD_ZONE)) {
            String letter = zone.value().substring("zone-".length());
            addWorker("w-" + letter + "1", zone);
            addWorker("w-" + letter + "2", zone);
        }
        cell.run(1_000);
    }

    private void addWorker(String name, AvailabilityZone zone) {
        WorkerId id = new WorkerId(name);
        cell.addWorker(
                new FleetWorker(
                        new WorkerIncarnation(id, WorkflowCell.EPOCH + cell.now()),
                        WorkflowCell.POOL,
                        "10.0.0.1:80",
                        zone,
                        CAPACITY,
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

    private List<WorkerId> workersOf(AvailabilityZone zone) {
        return cell.workers.values().stream()
                .map(SimulatedFleetWorker::worker)
                .filter(worker -> worker.availabilityZone().equals(zone))
                .map(FleetWorker::id)
                .toList();
    }

    private Set<RunId> runsIn(AvailabilityZone zone) {
        return workersOf(zone).stream()
                .flatMap(worker -> cell.ledger.worker(worker).stream())
                .flatMap(entry -> entry.runs().stream())
                .map(ActiveRun::run)
                .collect(Collectors.toSet());
    }

    /** Repeats an order as an operator does; returns when it was confirmed. */
    private long order(Function<AvailabilityZone, CellRequest> order, AvailabilityZone zone) {
        long end = cell.now() + ORDER_BOUND_MILLISECONDS;
        while (cell.now() < end) {
            RequestHandle handle = cell.request(order.apply(zone));
            for (long waited = 0; waited < ORDER_INTERVAL_MILLISECONDS; waited += 5) {
                cell.run(5);
                if (new Done().equals(cell.replies.get(handle))) {
                    return cell.now();
                }
            }
        }
        throw new AssertionError("the order was not confirmed in time");
    }

    private void submitFor(long milliseconds) {
        for (long passed = 0; passed < milliseconds; passed += SUBMIT_INTERVAL_MILLISECONDS) {
            submit(TestFleet.draft(1, 1_000));
            cell.run(SUBMIT_INTERVAL_MILLISECONDS);
        }
    }

    private void submit(WorkflowDraft draft) {
        String id = String.format("%016x", submitted.size() + 1);
        cell.request(new SubmitWorkflowRequest(TestFleet.target(id), draft));
        submitted.add(id);
    }

    private WorkflowState state(String id) {
        return cell.ledger.workflow(new JobId(id)).orElseThrow().state();
    }

    /** Submissions that arrived without a leader, or whose command was lost, are not accepted. */
    private void assertAllComplete() {
        List<String> accepted =
                submitted.stream()
                        .filter(id -> cell.ledger.workflow(new JobId(id)).isPresent())
                        .toList();
        assertThat(accepted).hasSizeGreaterThan(submitted.size() / 2);
        assertThat(accepted).allMatch(id -> state(id) == WorkflowState.COMPLETE);
    }
}
