package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramnotch.model.fleet.FleetConfiguration;
import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.fleet.QueueDefinition;
import org.marjoramnotch.model.fleet.QueueMove;
import org.marjoramnotch.model.fleet.TeamLimit;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.StepDefinition;

class FleetHistoryTest {
    private static final TeamName TEAM = new TeamName("one");
    private static final QueueName QUEUE = new QueueName("quick");
    private static final StepDefinition LARGE_STEP =
            StepDefinition.builder().demand(new Resources(20_000, 100, 0)).build();

    private final FleetHistory history = new FleetHistory();

    private static FleetWorker worker(long processorMillis, String... labels) {
        return new FleetWorker(
                new WorkerIncarnation(new WorkerId("w-" + processorMillis), 1),
                WorkflowCell.POOL,
                "10.0.0.1:80",
                new AvailabilityZone("zone"),
                new Resources(processorMillis, 16_000, 0),
                List.of(labels),
                false);
    }

    private void recordLimit(long version, long processorMillis) {
        history.record(
                TestFleet.configuration(
                        version, new Resources(processorMillis, 0, 0), Optional.empty()));
    }

    @Test
    void restoredHistoryIsTheSame() {
        history.record(worker(64_000, "b"));
        recordLimit(1, 9_000);
        FleetHistory restored = new FleetHistory();
        restored.restore(history.snapshot());
        assertThat(restored.snapshot()).isEqualTo(history.snapshot());
        assertThat(restored.mayFitWorker(WorkflowCell.POOL, LARGE_STEP)).isTrue();
        assertThat(restored.mayAllowTeam(TEAM, new Resources(9_000, 1, 0))).isTrue();
        assertThat(restored.mayAllowTeam(TEAM, new Resources(9_001, 1, 0))).isFalse();
    }

    @Test
    void smallerKindsAndLimitsAreNotStored() {
        history.record(worker(8_000, "a"));
        history.record(worker(64_000, "a"));
        history.record(worker(16_000, "a"));
        recordLimit(1, 5_000);
        recordLimit(2, 9_000);
        recordLimit(3, 7_000);
        assertThat(history.snapshot().kinds())
                .extracting(kind -> kind.capacity().processorMillis())
                .containsExactly(64_000L);
        assertThat(history.snapshot().limits())
                .filteredOn(limit -> limit.team().equals(TEAM))
                .extracting(limit -> limit.upperLimit().processorMillis())
                .containsExactly(9_000L);
    }

    @Test
    void historyOfOtherPoolsAndTeamsIsDropped() {
        history.record(worker(64_000));
        recordLimit(1, 5_000);
        history.retain(Set.of(TestFleet.OTHER_POOL), Set.of(TEAM));
        assertThat(history.snapshot().kinds()).isEmpty();
        assertThat(history.snapshot().limits()).extracting(TeamLimit::team).containsOnly(TEAM);
    }

    @ParameterizedTest
    @CsvSource({
        "9, 9, 0, 9, 9, 0, true",
        "9, 9, 0, 8, 9, 0, true",
        "9, 9, 0, 9, 9, 1, true",
        "9, 9, 1, 9, 9, 0, false",
        "9, 9, 0, 10, 9, 0, false",
        "0, 9, 0, 10, 9, 0, true",
        "9, 9, 0, 0, 9, 0, false"
    })
    void limitCoversThoseThatAllowNoMore(
            long processorMillis,
            long memory,
            long accelerators,
            long otherProcessorMillis,
            long otherMemory,
            long otherAccelerators,
            boolean covers) {
        TeamLimit limit = new TeamLimit(TEAM, new Resources(processorMillis, memory, accelerators));
        TeamLimit other =
                new TeamLimit(
                        TEAM, new Resources(otherProcessorMillis, otherMemory, otherAccelerators));
        assertThat(limit.covers(other)).isEqualTo(covers);
    }

    @Test
    void lastMoveIsKeptWhileTheQueueStays() {
        FleetConfiguration usual = TestFleet.configuration(1);
        FleetConfiguration moved = TestFleet.movedQueue(2);
        history.recordMoves(queuesOf(usual), moved, 70);
        QueueMove move = new QueueMove(QUEUE, TestFleet.OTHER_POOL, 2, 70);
        assertThat(history.lastMove(QUEUE)).contains(move);
        history.recordMoves(queuesOf(moved), TestFleet.movedQueue(3), 80);
        assertThat(history.lastMove(QUEUE)).contains(move);
        assertThat(history.snapshot().moves()).containsExactly(move);
    }

    @Test
    void queueInItsFirstPoolHasNotMoved() {
        history.recordMoves(queuesOf(TestFleet.configuration(1)), TestFleet.configuration(2), 70);
        assertThat(history.snapshot().moves()).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({"true, false", "false, true"})
    void addedQueueHasMovedOnlyIfItsPoolIsNew(boolean workerKnown, boolean moved) {
        if (workerKnown) {
            history.record(worker(8_000));
        }
        history.recordMoves(Map.of(), TestFleet.configuration(2), 70);
        assertThat(history.lastMove(QUEUE).isPresent()).isEqualTo(moved);
    }

    private static Map<QueueName, QueueDefinition> queuesOf(FleetConfiguration configuration) {
        return configuration.queues().stream()
                .collect(Collectors.toMap(QueueDefinition::name, queue -> queue));
    }
}
