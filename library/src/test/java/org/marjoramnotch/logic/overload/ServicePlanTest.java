package org.marjoramnotch.logic.overload;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramnotch.model.identifier.JobId;

/** Guards against plans that set aside work whose delay costs more than that of other work. */
class ServicePlanTest {
    private static final long NOW = 10_000;
    private static final long OBJECTIVE = 1_000;

    /** An item that is due after some time and can start until 200 ms before. */
    private static WorkItem item(int number, int priority, long dueIn, long work) {
        return WorkItem.builder(id(number))
                .priority(priority)
                .latestStartMilliseconds(NOW + dueIn - 200)
                .objectiveMilliseconds(OBJECTIVE)
                .dueMilliseconds(NOW + dueIn)
                .remainingProcessorMilliseconds(work)
                .build();
    }

    private static WorkId id(int number) {
        return new WorkId(new JobId("%016x".formatted(number)), 0);
    }

    @Test
    void servesByPriorityThenDueTimeAndWorthlessWorkLast() {
        List<WorkItem> items =
                List.of(
                        item(1, 0, 200 - 2 * OBJECTIVE - 1, 10),
                        item(2, 0, 100, 10),
                        item(3, 1, 900, 10),
                        item(4, 0, 1_000, 10),
                        item(5, 0, 900, 10));
        ServicePlan plan = ServicePlan.of(NOW, items, 1, 0);
        assertThat(plan.order())
                .extracting(WorkItem::id)
                .containsExactly(id(5), id(4), id(3), id(2), id(1));
        assertThat(plan.setAside())
                .isEqualTo(
                        Map.of(
                                id(2), ServicePlan.Reason.LATE,
                                id(1), ServicePlan.Reason.WORTHLESS));
    }

    /** A large item of 900 core-ms comes before five small ones of 150 at one core. */
    @ParameterizedTest(name = "priority of the large item {0}, cores {1}")
    @CsvSource({"0, 1, true", "1, 1, true", "0, 10, false", "1, 10, false", "0, 0, false"})
    void setsAsideTheLargeItemForTheSmallOnes(int priority, double cores, boolean setAside) {
        List<WorkItem> items = new ArrayList<>();
        items.add(item(0, priority, 999, 900));
        for (int number = 1; number <= 5; number++) {
            items.add(item(number, 0, 1_000, 150));
        }
        ServicePlan plan = ServicePlan.of(NOW, items, cores, 0);
        assertThat(plan.setAside().keySet()).isEqualTo(setAside ? Set.of(id(0)) : Set.of());
    }

    @Test
    void lowPriorityNeverSetsAsideHighPriority() {
        List<WorkItem> items = List.of(item(0, 0, 1_000, 700), item(1, 2, 1_000, 400));
        assertThat(ServicePlan.of(NOW, items, 1, 0).setAside()).containsOnlyKeys(id(1));
    }

    @Test
    void workUnderWayTakesCapacityAndIsNeverSetAside() {
        WorkItem running =
                WorkItem.builder(id(0))
                        .latestStartMilliseconds(WorkItem.UNDER_WAY)
                        .objectiveMilliseconds(OBJECTIVE)
                        .dueMilliseconds(NOW - 5)
                        .remainingProcessorMilliseconds(700)
                        .build();
        List<WorkItem> items = List.of(running, item(1, 0, 1_000, 50), item(2, 0, 1_000, 300));
        assertThat(ServicePlan.of(NOW, items, 1, 0).setAside()).containsOnlyKeys(id(2));
    }

    /** With equal priorities, no other choice of items lets more of them be in time. */
    @ParameterizedTest
    @CsvSource({"1", "2", "3", "4"})
    void setsAsideAsFewItemsAsPossible(long seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        for (int round = 0; round < 200; round++) {
            List<WorkItem> items = new ArrayList<>();
            for (int number = 0; number < 8; number++) {
                long due = 100 + random.nextLong(900);
                items.add(
                        WorkItem.builder(id(number))
                                .latestStartMilliseconds(NOW + due)
                                .objectiveMilliseconds(OBJECTIVE)
                                .dueMilliseconds(NOW + due)
                                .remainingProcessorMilliseconds(1 + random.nextLong(400))
                                .build());
            }
            assertThat(8 - ServicePlan.of(NOW, items, 1, 0).setAside().size())
                    .isEqualTo(mostInTime(items));
        }
    }

    private static int mostInTime(List<WorkItem> items) {
        int most = 0;
        for (int chosen = 0; chosen < 1 << items.size(); chosen++) {
            int subset = chosen;
            List<WorkItem> served =
                    items.stream()
                            .filter(item -> (subset >> items.indexOf(item) & 1) == 1)
                            .sorted(Comparator.comparingLong(WorkItem::dueMilliseconds))
                            .toList();
            long work = NOW;
            boolean inTime = true;
            for (WorkItem item : served) {
                work += item.remainingProcessorMilliseconds();
                inTime &= work <= item.dueMilliseconds();
            }
            most = inTime ? Math.max(most, served.size()) : most;
        }
        return most;
    }
}
