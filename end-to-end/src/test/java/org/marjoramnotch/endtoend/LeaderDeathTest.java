package org.marjoramnotch.endtoend;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class LeaderDeathTest {
    private static final int CALLERS = 8;
    private static final int REQUESTS_EACH = 60;

    @TempDir Path folder;

    @ParameterizedTest
    @ValueSource(strings = {TestRules.ONCE_QUEUE, TestRules.IDEMPOTENT_QUEUE})
    void killedLeaderLeavesWholeOrTruthfulAnswers(String queue) throws Exception {
        try (Cell cell = new Cell(folder, 3, 2);
                Announcer endpoints = new Announcer(cell.addresses(), TestRules.SERVICE, 2)) {
            cell.form(TestRules.TEXT);
            CallerLoad load = new CallerLoad(cell.caller(), cell.addresses(), queue, TestRules.KEY);
            awaitService(cell, load);
            List<CallerAnswer> answers =
                    load.run(CALLERS, REQUESTS_EACH, () -> cell.leader().kill());
            assertThat(answers)
                    .hasSize(CALLERS * REQUESTS_EACH)
                    .allSatisfy(answer -> check(answer, endpoints, queue));
            assertThat(answers).anyMatch(CallerAnswer::answered);
            awaitService(cell, load);
        }
    }

    private static void awaitService(Cell cell, CallerLoad load) {
        String live =
                cell.daemons().stream()
                        .filter(DaemonProcess::isAlive)
                        .findFirst()
                        .orElseThrow()
                        .httpAddress();
        int[] number = {0};
        Poll.until(
                "a request is answered", () -> load.call(live, "probe-" + number[0]++).answered());
    }

    private static void check(CallerAnswer answer, Announcer endpoints, String queue) {
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
