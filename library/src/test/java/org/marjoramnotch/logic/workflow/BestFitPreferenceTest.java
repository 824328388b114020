package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.fleet.QueueDefinition;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.StepId;
import org.marjoramnotch.model.workflow.Workflow;
import org.marjoramnotch.model.workflow.WorkflowTaskId;

/** Compares the written-out comparator of workers with an equivalent chain of comparators. */
class BestFitPreferenceTest {
    private static final int STEPS = 200;
    private static final int WORKERS = 30;

    private UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(0);
    private long runs;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void orderEqualsChainOfCriteria(long seed) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        BestFitPreference preference = new BestFitPreference();
        for (int number = 0; number < STEPS; number++) {
            ReadyStep step = step();
            List<WorkerCapacity> workers = new ArrayList<>();
            for (int position = 0; position < WORKERS; position++) {
                workers.add(worker(position));
            }
            assertThat(workers.stream().sorted(preference.forStep(step)).toList())
                    .isEqualTo(workers.stream().sorted(criteria(step)).toList());
        }
    }

    private static Comparator<WorkerCapacity> criteria(ReadyStep step) {
        StepDefinition definition = step.tasks().definition();
        boolean tightObjective = step.workflow().queue().stretch() < 2;
        return Comparator.comparing(
                        (WorkerCapacity worker) ->
                                definition.dataRack().isPresent()
                                        && !worker.entry()
                                                .worker()
                                                .labels()
                                                .contains(definition.dataRack().get()))
                .thenComparing(WorkerCapacity::hasRecentFailures)
                .thenComparing(worker -> worker.entry().mayHoldInheritedLease())
                .thenComparing(worker -> worker.slowness() > 0.5)
                .thenComparing(WorkerCapacity::isCold)
                .thenComparing(worker -> interferingRuns(worker, definition))
                .thenComparing(worker -> definition.standing() ? worker.entry().runs().size() : 0)
                .thenComparing(worker -> tightObjective ? Math.round(worker.slowness() / 0.1) : 0)
                .thenComparing(WorkerCapacity::freeProcessorMillis);
    }

    private static long interferingRuns(WorkerCapacity worker, StepDefinition step) {
        boolean hasLatencyTarget = step.latencyTargetMilliseconds() > 0;
        return worker.entry().runs().stream()
                .map(ActiveRun::step)
                .filter(
                        other ->
                                hasLatencyTarget
                                        ? other.filler()
                                        : step.filler() && other.latencyTargetMilliseconds() > 0)
                .count();
    }

    private ReadyStep step() {
        QueueDefinition template = TestFleet.queue("quick", "/quick/", 0, false, Optional.empty());
        QueueDefinition queue =
                new QueueDefinition(
                        template.name(),
                        template.host(),
                        template.pathPrefix(),
                        template.pool(),
                        0,
                        4,
                        random.nextBoolean() ? 1.5 : 3,
                        250,
                        false,
                        Optional.empty());
        StepDefinition definition = definition();
        StepId id = new StepId(new JobId("0123456789abcdef"), 0, 0);
        Workflow workflow =
                new Workflow(
                        id.workflow(),
                        new QueueName("quick"),
                        Optional.empty(),
                        "payload",
                        List.of(definition),
                        Optional.empty(),
                        0);
        return new ReadyStep(
                new WorkflowEntry(workflow, queue), id, new StepTasks(definition), 0, 0, 0);
    }

    private StepDefinition definition() {
        return StepDefinition.builder()
                .demand(new Resources(1_000, 100, 0))
                .dataRack(random.nextBoolean() ? Optional.of("rack-1") : Optional.empty())
                .standing(random.nextBoolean())
                .latencyTargetMilliseconds(random.nextInt(3) == 0 ? 50 : 0)
                .filler(random.nextInt(3) == 0)
                .build();
    }

    private WorkerCapacity worker(int position) {
        FleetWorker worker =
                new FleetWorker(
                        new WorkerIncarnation(new WorkerId("w-" + position), 1),
                        WorkflowCell.POOL,
                        "10.0.0.1:80",
                        new AvailabilityZone("zone"),
                        new Resources(8_000, 8_000, 0),
                        List.of("a", "rack-" + random.nextInt(2)),
                        false);
        WorkerEntry entry = new WorkerEntry(worker);
        for (int count = random.nextInt(4); count > 0; count--) {
            runs++;
            RunId run =
                    new RunId(
                            new WorkflowTaskId(
                                    new StepId(new JobId("fedcba9876543210"), 0, 0), (int) runs),
                            1);
            entry.add(new ActiveRun(run, definition(), Optional.empty()));
        }
        if (random.nextInt(4) == 0) {
            entry.inheritLease();
        }
        double[] speeds = {-0.2, 0, 0.04, 0.06, 0.3, 0.5, 0.6, 0.9};
        return new WorkerCapacity(
                entry,
                position,
                entry.reserved(),
                random.nextInt(4) == 0,
                speeds[random.nextInt(speeds.length)],
                random.nextInt(4) == 0);
    }
}
