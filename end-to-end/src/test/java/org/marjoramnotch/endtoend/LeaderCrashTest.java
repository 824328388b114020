package org.marjoramnotch.endtoend;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class LeaderCrashTest {
    private static final int CALLERS = 8;
    private static final int REQUESTS_EACH = 60;
    private static final int TASKS = 2;

    @TempDir Path folder;

    @ParameterizedTest
    @ValueSource(strings = {TestRules.ONCE_QUEUE, TestRules.IDEMPOTENT_QUEUE})
    void answersAreCompleteOrTruthfulWhenLeaderIsKilled(String queue) throws Exception {
        try (Cell cell = new Cell(folder, 3, 2);
                StandInEndpoints endpoints =
                        new StandInEndpoints(cell.addresses(), TestRules.SERVICE, 2)) {
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

    @Test
    void jobsFromEveryEntryRunOnceWhenLeaderIsKilled() throws Exception {
        try (Cell cell = new Cell(folder, 3, 2);
                WorkerProcess worker = new WorkerProcess("worker-1", cell.addresses(), folder)) {
            cell.form(TestRules.TEXT);
            cell.awaitReady();
            JobClient jobs = new JobClient(cell.caller(), TestRules.KEY);
            List<String> names = new ArrayList<>();
            for (String address : cell.addresses()) {
                names.add(jobs.submit(address, TestRules.ONCE_BATCH_QUEUE, TASKS, "500"));
                names.add(jobs.submit(address, TestRules.GANG_QUEUE, TASKS, "500"));
            }
            cell.leader().kill();
            String entry = cell.addresses().get(cell.addresses().size() - 1);
            for (String job : names) {
                JsonNode status = jobs.awaitEnd(entry, job);
                assertThat(status.path("state").asText()).as(job).isEqualTo("succeeded");
                assertThat(worker.starts(job)).as("starts of %s", job).isEqualTo(TASKS);
            }
        }
    }
}
