package org.marjoramnotch.logic.entry;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RetryBudgetTest {
    @Test
    void retriesBeyondTheBurstAreLimitedToFractionOfFirstAttempts() {
        RetryBudget budget = new RetryBudget(0.1, 10);
        int retries = 0;
        for (int request = 0; request < 1_000; request++) {
            budget.onFirstAttempt();
            retries += budget.tryRetry() ? 1 : 0;
        }

        assertThat(retries).isBetween(100, 110);
    }
}
