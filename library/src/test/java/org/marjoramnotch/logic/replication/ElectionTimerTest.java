package org.marjoramnotch.logic.replication;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.identifier.VmId;

/** When replicas seek election. */
class ElectionTimerTest {
    private static final long MINIMUM_MILLISECONDS = 400;
    private static final long NOW = 10_000;

    private final ReplicaSettings settings =
            ReplicaSettings.builder(new ReplicaId(new VmId("vm-1"), "a"), Set.of(new VmId("vm-1")))
                    .electionTimeoutMilliseconds(MINIMUM_MILLISECONDS, 600)
                    .heartbeatIntervalMilliseconds(100)
                    .build();

    private ElectionTimer timer(long seed) {
        return new ElectionTimer(settings, RandomSource.XO_RO_SHI_RO_128_PP.create(seed));
    }

    private static long dueAt(ElectionTimer timer) {
        long now = NOW;
        while (!timer.isDue(now)) {
            now++;
        }
        return now;
    }

    /** The load: all voters start at once, with slow first rounds of votes. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void votersThatStartTogetherSeekElectionInTurn(long seed) {
        long earlier = 0;
        for (int turn = 0; turn < 5; turn++) {
            ElectionTimer timer = timer(seed * 100 + turn);
            timer.start(NOW, NOW, turn);
            long due = dueAt(timer);
            assertThat(due - earlier).isGreaterThanOrEqualTo(MINIMUM_MILLISECONDS / 8);
            earlier = due;
        }
    }

    @Test
    void replicaThatJustBeganRefusesVotesForOneTimeout() {
        ElectionTimer timer = timer(1);
        timer.start(NOW - 100, NOW, 0);
        assertThat(timer.supportsLeader(NOW + 299)).isTrue();
        assertThat(timer.supportsLeader(NOW + 300)).isFalse();
    }
}
