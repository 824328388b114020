package org.marjoramnotch.endtoend;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class WorkerCrashTest {
    private static final String RUN_MILLISECONDS = "5000";

    @TempDir Path folder;

    @Test
    void taskOfCrashedWorkerRunsAgainOnlyIfItIsIdempotent() throws Exception {
        try (Cell cell = new Cell(folder, 1, 1)) {
            cell.form(TestRules.TEXT);
            cell.awaitReady();
            String address = cell.addresses().get(1);
            JobClient jobs = new JobClient(cell.caller(), TestRules.KEY);
            String idempotent = jobs.submit(address, TestRules.BATCH_QUEUE, 1, RUN_MILLISECONDS);
            String once = jobs.submit(address, TestRules.ONCE_BATCH_QUEUE, 1, RUN_MILLISECONDS);
            try (WorkerProcess crashing = new WorkerProcess("worker-1", cell.addresses(), folder)) {
                Poll.until(
                        "the worker runs both jobs",
                        () -> crashing.starts(idempotent) == 1 && crashing.starts(once) == 1);
            }
            try (WorkerProcess other = new WorkerProcess("worker-2", cell.addresses(), folder)) {
                JsonNode repeated = jobs.awaitEnd(address, idempotent);
                JsonNode lost = jobs.awaitEnd(address, once);
                assertThat(repeated.path("state").asText()).isEqualTo("succeeded");
                assertThat(other.starts(idempotent)).isEqualTo(1);
                assertThat(lost.path("state").asText()).isEqualTo("failed");
                assertThat(lost.path("outcome").asText()).isEqualTo("unknown");
                assertThat(other.starts(once)).isZero();
            }
            Poll.until("all capacity is released", () -> cell.running() == 0);
        }
    }
}
