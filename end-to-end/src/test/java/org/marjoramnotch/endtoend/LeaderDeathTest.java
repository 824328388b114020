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
            cell.awaitService(load);
            List<CallerAnswer> answers =
                    load.run(CALLERS, REQUESTS_EACH, () -> cell.leader().kill());
            assertThat(answers).hasSize(CALLERS * REQUESTS_EACH).anyMatch(CallerAnswer::answered);
            new AnswerCheck(endpoints, queue).check(answers);
            cell.awaitService(load);
        }
    }
}
