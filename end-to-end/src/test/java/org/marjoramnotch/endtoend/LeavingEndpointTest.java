package org.marjoramnotch.endtoend;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class LeavingEndpointTest {
    private static final int CALLERS = 8;
    private static final int REQUESTS_EACH = 30;
    private static final String LEAVING = "endpoint-1";

    /**
     * An endpoint must get no new work "a few seconds" after it left; there is no additional
     * tolerance for a busy machine.
     */
    private static final long LEFT_MILLISECONDS = 3_000;

    @TempDir Path folder;

    @Test
    void leavingEndpointGetsNoNewWork() throws Exception {
        try (Cell cell = new Cell(folder, 1, 2);
                StandInEndpoints endpoints =
                        new StandInEndpoints(cell.addresses(), TestRules.SERVICE, 3)) {
            cell.form(TestRules.TEXT);
            cell.awaitReady();
            cell.awaitService(load(cell));
            List<CallerAnswer> during =
                    load(cell)
                            .runDuring(
                                    CALLERS,
                                    () -> {
                                        endpoints.leave(LEAVING);
                                        Poll.pause(LEFT_MILLISECONDS);
                                    });
            List<CallerAnswer> after = load(cell).run(CALLERS, REQUESTS_EACH, () -> {});
            assertThat(during)
                    .anyMatch(answer -> endpoints.executions(LEAVING, answer.body()) > 0)
                    .allMatch(CallerAnswer::answered);
            assertThat(after)
                    .hasSize(CALLERS * REQUESTS_EACH)
                    .noneMatch(answer -> endpoints.executions(LEAVING, answer.body()) > 0)
                    .allMatch(CallerAnswer::answered);
            new AnswerCheck(endpoints, TestRules.ONCE_QUEUE).check(during);
            new AnswerCheck(endpoints, TestRules.ONCE_QUEUE).check(after);
        }
    }

    private static CallerLoad load(Cell cell) {
        return new CallerLoad(cell.caller(), cell.addresses(), TestRules.ONCE_QUEUE, TestRules.KEY);
    }
}
