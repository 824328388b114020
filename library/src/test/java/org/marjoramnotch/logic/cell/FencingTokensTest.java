package org.marjoramnotch.logic.cell;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.marjoramnotch.logic.workflow.WorkflowDuty;

class FencingTokensTest {
    private static final long TERM = 7;

    private final FencingTokens tokens = new FencingTokens();

    @Test
    void dutiesOfLaterTermHaveHigherTokensThanAllOfEarlierOnes() {
        long last = 0;
        for (int start = 0; start < 1_000; start++) {
            last = tokens.next(TERM);
        }
        assertThat(tokens.next(TERM + 1)).isGreaterThan(last + WorkflowDuty.FENCING_TOKENS - 1);
    }

    // From the 129th start in a term on, duties shared their tokens and numbers of calls.
    @Test
    @Tag("known-red")
    void eachOfManyDutiesHasTokensOfItsOwn() {
        long last = tokens.next(TERM);
        for (int start = 1; start < 1_000; start++) {
            long token = tokens.next(TERM);
            assertThat(token).isGreaterThan(last + WorkflowDuty.FENCING_TOKENS - 1);
            last = token;
        }
    }
}
