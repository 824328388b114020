package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.resource.Resources;

class PoolCapacityTest {
    private static final int WORKERS = 40;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void changesKeepWorkersSorted(long seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        PoolCapacity pool = new PoolCapacity();
        List<WorkerCapacity> all = new ArrayList<>();
        for (int position = 0; position < WORKERS; position++) {
            WorkerCapacity worker = worker(position, 1_000L * random.nextInt(8));
            all.add(worker);
            pool.add(worker);
        }
        Comparator<WorkerCapacity> order =
                Comparator.comparingLong(WorkerCapacity::freeProcessorMillis)
                        .reversed()
                        .thenComparingInt(WorkerCapacity::position);
        for (int change = 0; change < 500; change++) {
            WorkerCapacity worker = all.get(random.nextInt(WORKERS));
            Resources amount = new Resources(1_000L * random.nextInt(4), 0, 0);
            if (random.nextBoolean()) {
                pool.reserve(worker, amount);
            } else {
                pool.release(worker, amount);
            }
            assertThat(pool.mostFreeFirst()).containsExactlyElementsOf(sorted(all, order));
        }
    }

    private static List<WorkerCapacity> sorted(
            List<WorkerCapacity> workers, Comparator<WorkerCapacity> order) {
        return workers.stream().sorted(order).toList();
    }

    private static WorkerCapacity worker(int position, long freeProcessorMillis) {
        FleetWorker worker =
                new FleetWorker(
                        new WorkerIncarnation(new WorkerId("w-" + position), 1),
                        WorkflowCell.POOL,
                        "10.0.0.1:80",
                        new AvailabilityZone("zone"),
                        new Resources(freeProcessorMillis, 1_000, 0),
                        List.of("a", "rack-1"),
                        false);
        return new WorkerCapacity(
                new WorkerEntry(worker), position, Resources.NONE, false, 0, false);
    }
}
