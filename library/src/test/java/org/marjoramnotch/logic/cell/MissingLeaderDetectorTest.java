package org.marjoramnotch.logic.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.logic.replication.ReplicationStatus;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.identifier.VmId;

class MissingLeaderDetectorTest {
    private static final ReplicaId SELF = new ReplicaId(new VmId("vm-1"), "founder");
    private static final long INTERVAL = MissingLeaderDetector.ENTRY_INTERVAL_MILLISECONDS;

    private final MissingLeaderDetector detector = new MissingLeaderDetector();

    @ParameterizedTest
    @CsvSource({"true, group_awaited", "false, leader_awaited"})
    void missingLeaderIsToldInIntervals(boolean withoutGroup, String event) {
        ReplicationStatus status =
                status(Optional.empty(), withoutGroup ? List.of() : List.of(SELF));
        assertThat(detector.detect(1_000, status)).isEmpty();
        assertThat(detector.detect(1_000 + INTERVAL - 1, status)).isEmpty();

        DecisionLogEntry entry = detector.detect(1_000 + INTERVAL, status).orElseThrow();
        assertThat(entry.event()).isEqualTo(event);
        assertThat(entry.fields())
                .containsExactly(
                        "replica",
                        SELF,
                        "waited_ms",
                        INTERVAL,
                        "term",
                        4L,
                        "commit_index",
                        7L,
                        "voters",
                        status.voters(),
                        "learners",
                        List.of());
        assertThat(detector.detect(1_001 + INTERVAL, status)).isEmpty();
        assertThat(detector.detect(1_000 + 2 * INTERVAL, status)).isPresent();
    }

    @Test
    void knownLeaderEndsTheWait() {
        ReplicationStatus missing = status(Optional.empty(), List.of(SELF));
        assertThat(detector.detect(1_000, missing)).isEmpty();
        assertThat(detector.detect(2_000, status(Optional.of(SELF), List.of(SELF)))).isEmpty();
        assertThat(detector.detect(1_000 + INTERVAL, missing)).isEmpty();
    }

    private static ReplicationStatus status(Optional<ReplicaId> leader, List<ReplicaId> voters) {
        return new ReplicationStatus(SELF, false, false, leader, 4, 7, 1, voters, List.of());
    }
}
