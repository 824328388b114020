package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.marjoramnotch.model.identifier.JobId;

class ConsecutiveFailuresTest {
    private static final JobId ONE = new JobId("0123456789abcdef");
    private static final JobId TWO = new JobId("fedcba9876543210");

    private final ConsecutiveFailures streak = new ConsecutiveFailures();

    @Test
    void failuresOfSeveralWorkflowsInRowSpeakAgainstTheWorker() {
        streak.onFailure(0, ONE);
        streak.onFailure(10, TWO);
        assertThat(streak.isSuspect()).isFalse();
        streak.onFailure(20, ONE);
        assertThat(streak.isSuspect()).isTrue();
        streak.onSuccess();
        assertThat(streak.isSuspect()).isFalse();
        assertThat(streak.hasRecentFailures(20)).isFalse();
    }

    @Test
    void standingTasksThatFailKeepNoWorkOffTheirWorker() {
        for (int failure = 0; failure < 10; failure++) {
            streak.onStandingFailure(failure);
        }
        assertThat(streak.isSuspect()).isFalse();
        assertThat(streak.hasRecentFailures(10)).isTrue();
        assertThat(streak.hasRecentFailures(10_009)).isFalse();
    }
}
