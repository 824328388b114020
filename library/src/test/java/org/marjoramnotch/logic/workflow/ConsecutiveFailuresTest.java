package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.marjoramnotch.model.identifier.JobId;

class ConsecutiveFailuresTest {
    private static final JobId ONE = new JobId("0123456789abcdef");
    private static final JobId TWO = new JobId("fedcba9876543210");

    private final ConsecutiveFailures failures = new ConsecutiveFailures();

    @Test
    void consecutiveFailuresOfSeveralWorkflowsMakeWorkerSuspect() {
        failures.onFailure(0, ONE);
        failures.onFailure(10, TWO);
        assertThat(failures.isSuspect()).isFalse();
        failures.onFailure(20, ONE);
        assertThat(failures.isSuspect()).isTrue();
        failures.onSuccess();
        assertThat(failures.isSuspect()).isFalse();
        assertThat(failures.hasRecentFailures(20)).isFalse();
    }

    @Test
    void failedStandingTasksDoNotMakeWorkerSuspect() {
        for (int failure = 0; failure < 10; failure++) {
            failures.onStandingFailure(failure);
        }
        assertThat(failures.isSuspect()).isFalse();
        assertThat(failures.hasRecentFailures(10)).isTrue();
        assertThat(failures.hasRecentFailures(10_009)).isFalse();
    }
}
