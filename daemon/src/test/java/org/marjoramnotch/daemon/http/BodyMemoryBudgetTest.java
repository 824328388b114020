package org.marjoramnotch.daemon.http;

import static org.assertj.core.api.Assertions.assertThatCode;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;
import org.marjoramnotch.model.error.MarjoramnotchException;

class BodyMemoryBudgetTest {
    @Test
    void bodyThatExceedsTheBudgetIsRefusedAndReservesNothing() {
        BodyMemoryBudget budget = new BodyMemoryBudget(10);
        budget.reserve(6);
        assertThatThrownBy(() -> budget.reserve(5)).isInstanceOf(MarjoramnotchException.class);
        assertThatCode(() -> budget.reserve(4)).doesNotThrowAnyException();
        budget.release(6);
        assertThatCode(() -> budget.reserve(6)).doesNotThrowAnyException();
    }
}
