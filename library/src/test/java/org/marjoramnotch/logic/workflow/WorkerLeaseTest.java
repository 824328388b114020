package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class WorkerLeaseTest {
    private static final WorkflowSettings SETTINGS =
            WorkflowSettings.builder().leaseMilliseconds(3_000).build();

    @Test
    void leaseWithUnknownClockEndsAfterLongestEarlierGrant() {
        WorkerLease lease = new WorkerLease(SETTINGS, 10_000);
        assertThat(lease.isOver(10_000 + 3_000)).isFalse();
        assertThat(lease.isOver(10_000 + 3_500)).isTrue();
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.98, 1.0, 1.02})
    void leaseIsNeverOverWhileTheWorkerMayKeepIt(double rate) {
        WorkerLease lease = new WorkerLease(SETTINGS, 0);
        lease.onAnswer(1_000, 1_040, (long) (1_020 * rate));
        long until = lease.grant(2_000).orElseThrow();
        long now = 2_000;
        while (!lease.isOver(now)) {
            now++;
        }
        assertThat((long) (now * rate)).isGreaterThanOrEqualTo(until);
    }

    @Test
    void nothingIsGrantedWithUnknownClock() {
        assertThat(new WorkerLease(SETTINGS, 0).grant(5)).isEmpty();
    }
}
