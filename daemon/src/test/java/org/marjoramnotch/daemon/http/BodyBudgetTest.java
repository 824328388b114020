package org.marjoramnotch.daemon.http;

import static org.assertj.core.api.Assertions.assertThatCode;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;
import org.marjoramnotch.model.error.MarjoramnotchException;

class BodyBudgetTest {
    @Test
    void bodyThatExceedsTheBudgetIsRefusedAndTakesNothing() {
        BodyBudget budget = new BodyBudget(10);
        budget.take(6);
        assertThatThrownBy(() -> budget.take(5)).isInstanceOf(MarjoramnotchException.class);
        assertThatCode(() -> budget.take(4)).doesNotThrowAnyException();
        budget.give(6);
        assertThatCode(() -> budget.take(6)).doesNotThrowAnyException();
    }
}
