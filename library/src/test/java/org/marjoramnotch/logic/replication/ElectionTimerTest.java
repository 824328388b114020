package org.marjoramnotch.logic.replication;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.identifier.VmId;

/** Tests when replicas start elections. */
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

    /**
     * Guards against repeated split votes when all voters start at once and their first rounds of
     * votes are slow.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void votersThatStartTogetherAttemptElectionsOneAfterAnother(long seed) {
        long previousDue = 0;
        for (int position = 0; position < 5; position++) {
            ElectionTimer timer = timer(seed * 100 + position);
            timer.start(NOW, NOW, position);
            long due = dueAt(timer);
            assertThat(due - previousDue).isGreaterThanOrEqualTo(MINIMUM_MILLISECONDS / 8);
            previousDue = due;
        }
    }

    @Test
    void newlyStartedReplicaRefusesVotesForOneTimeout() {
        ElectionTimer timer = timer(1);
        timer.start(NOW - 100, NOW, 0);
        assertThat(timer.supportsLeader(NOW + 299)).isTrue();
        assertThat(timer.supportsLeader(NOW + 300)).isFalse();
    }
}
