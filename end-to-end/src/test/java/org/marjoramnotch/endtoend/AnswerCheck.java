package org.marjoramnotch.endtoend;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;

/** Compares the answers that callers got with the requests that the endpoints executed. */
final class AnswerCheck {
    private final StandInEndpoints endpoints;
    private final String queue;

    AnswerCheck(StandInEndpoints endpoints, String queue) {
        this.endpoints = endpoints;
        this.queue = queue;
    }

    /**
     * Fails if a non-idempotent request was executed twice, if a request that was refused as "not
     * run" was executed, if an answered request was not executed, or if an answer is not the
     * complete answer to its own request.
     */
    void check(List<CallerAnswer> answers) {
        assertThat(answers).isNotEmpty().allSatisfy(this::check);
    }

    private void check(CallerAnswer answer) {
        int executions = endpoints.executions(answer.body());
        if (queue.equals(TestRules.ONCE_QUEUE)) {
            assertThat(executions).as("executions of a non-idempotent request").isLessThan(2);
        }
        if (answer.answered()) {
            assertThat(answer.answer()).isEqualTo(answer.body());
            assertThat(executions).as("executions of an answered request").isPositive();
        }
        if (answer.saysNotRun()) {
            assertThat(executions).as("executions of a request refused as not run").isZero();
        }
    }
}
