package org.marjoramnotch.logic.workflow;

import java.util.List;
import java.util.Optional;
import org.marjoramnotch.model.fleet.FleetConfiguration;
import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.fleet.PoolDefinition;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.message.ApplyConfiguration;
import org.marjoramnotch.model.message.SubmitWorkflowRequest;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.Recurrence;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.WorkflowDraft;
import org.marjoramnotch.model.workflow.WorkflowState;

/** A cell with a pool of large workers and one of small workers, between which a queue moves. */
final class TwoPoolFleet {
    static final Resources LARGE = new Resources(64_000, 16_000, 0);
    static final Resources SMALL = new Resources(16_000, 16_000, 0);

    /** A limit that none of the tasks is within. */
    static final Resources NO_ROOM = new Resources(500, 0, 0);

    final WorkflowCell cell;
    private long version;

    TwoPoolFleet(long seed) {
        this(seed, Resources.NONE);
    }

    TwoPoolFleet(long seed, Resources upperLimit) {
        cell = new WorkflowCell(seed);
        new SimulatedGangs(cell);
        limit(upperLimit);
        addLarge();
        cell.run(300);
    }

    void addWorker(String name, ServiceName pool, Resources capacity) {
        cell.addWorker(
                new FleetWorker(
                        new WorkerIncarnation(new WorkerId(name), WorkflowCell.EPOCH + cell.now()),
                        pool,
                        "10.0.0.1:80",
                        new AvailabilityZone("zone"),
                        capacity,
                        List.of("a", "rack-1"),
                        false));
    }

    void addLarge() {
        addWorker("large-1", WorkflowCell.POOL, LARGE);
        addWorker("large-2", WorkflowCell.POOL, LARGE);
    }

    private void addSmall() {
        if (!cell.workers.containsKey(new WorkerId("small-1"))) {
            addWorker("small-1", TestFleet.OTHER_POOL, SMALL);
            addWorker("small-2", TestFleet.OTHER_POOL, SMALL);
        }
        cell.run(100);
    }

    void remove(String name) {
        TestFleet.leave(cell, new WorkerId(name));
    }

    void removeLarge() {
        remove("large-1");
        remove("large-2");
        cell.run(100);
    }

    /** Sends the queue to the pool of small workers. */
    void sendAway(Resources upperLimit) {
        apply(TestFleet.movedQueue(version + 1, upperLimit));
        addSmall();
    }

    /** Sends the queue to the pool of small workers, and drops the pool of large ones. */
    void sendAwayAndDropPool() {
        FleetConfiguration moved = TestFleet.movedQueue(version + 1);
        apply(
                new FleetConfiguration(
                        moved.version(),
                        moved.document(),
                        List.of(moved.queues().get(0)),
                        List.of(new PoolDefinition(TestFleet.OTHER_POOL, false, false)),
                        moved.teams()));
        addSmall();
    }

    /** Drops all queues, pools and teams. */
    void dropAll() {
        apply(new FleetConfiguration(version + 1, "document", List.of(), List.of(), List.of()));
    }

    /** Sends the queue to the pool of large workers. */
    void sendBack() {
        apply(TestFleet.configuration(version + 1));
    }

    void limit(Resources upperLimit) {
        apply(TestFleet.configuration(version + 1, upperLimit, Optional.empty()));
    }

    private void apply(FleetConfiguration configuration) {
        version = configuration.version();
        cell.request(new ApplyConfiguration(configuration));
        cell.run(100);
    }

    void submit(String name, Optional<Recurrence> recurrence, List<StepDefinition> steps) {
        cell.request(
                new SubmitWorkflowRequest(
                        TestFleet.target(name), new WorkflowDraft("payload", steps, recurrence)));
        cell.run(100);
    }

    static StepDefinition.Builder step(long processorMillis) {
        return StepDefinition.builder()
                .demand(new Resources(processorMillis, 100, 0))
                .estimateMilliseconds(400);
    }

    WorkflowState state(String name) {
        return cell.ledger.workflow(new JobId(name)).orElseThrow().state();
    }

    /** Returns whether a workflow is complete within some time. */
    boolean completes(String name, long milliseconds) {
        long end = cell.now() + milliseconds;
        while (!state(name).isFinal() && cell.now() < end) {
            cell.run(50);
        }
        return state(name) == WorkflowState.COMPLETE;
    }
}
