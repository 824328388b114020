package org.marjoramnotch.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import org.apache.commons.codec.digest.DigestUtils;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramnotch.daemon.standin.StandInWorker;

/** Tests the job interface that callers and workers rely on, with the default decision logic. */
class JobContractTest {
    private static final String RULES =
            "team team-a share 1 limit 8 # the test\\n"
                    + "key key-a team team-a sha256 %s # the test\\n"
                    + "queue bundles private team-a policy batch idempotent # the test\\n";
    private static final String JOB =
            """
            {"name":"bundle","tasks":%d,"processorMillis":%d,"memoryMegabytes":100,\
            "accelerators":0,"expectedRunMilliseconds":100,"urgent":false,"payload":"%s"}\
            """;

    @TempDir static Path folder;
    private static DaemonFixture fixture;

    @BeforeAll
    static void start() throws Exception {
        fixture = DaemonFixture.single(folder, Daemon.standardParts());
        fixture.operator(
                "PUT",
                "/v1/operator/rules",
                "{\"requestId\":\"r-1\",\"expectedVersion\":0,\"text\":\""
                        + RULES.formatted(DigestUtils.sha256Hex("secret"))
                        + "\"}");
        Thread worker =
                new Thread(
                        () ->
                                StandInWorker.main(
                                        new String[] {"w-1", "4000", "4000", fixture.address}));
        worker.setDaemon(true);
        worker.start();
        DaemonFixture.await(
                () ->
                        fixture.operator("GET", "/v1/operator/status", "")
                                .body()
                                .contains("\"workers\":1"));
    }

    @AfterAll
    static void stop() {
        fixture.close();
    }

    @ParameterizedTest
    @CsvSource({"100, succeeded", "fail, failed"})
    void jobRunsToItsEnd(String payload, String state) {
        HttpResponse<String> accepted =
                submit(JOB.formatted(3, 1000, payload), "Bearer key-a.secret");
        assertThat(accepted.statusCode()).as(accepted.body()).isEqualTo(202);
        String job = accepted.body().replaceAll(".*\"job\":\"([^\"]*)\".*", "$1");

        DaemonFixture.await(() -> read(job).contains("\"state\":\"" + state + "\""));
    }

    @ParameterizedTest
    @CsvSource({
        "1, 9000, Bearer key-a.secret, 422, JOB_NEVER_FITS",
        "1, 1000, Bearer key-a.wrong,  401, KEY_REFUSED",
        "0, 1000, Bearer key-a.secret, 400, INVALID_REQUEST",
    })
    void jobThatCannotRunIsRefusedImmediately(
            int tasks, int processor, String key, int status, String code) {
        HttpResponse<String> answer = submit(JOB.formatted(tasks, processor, "1"), key);

        assertThat(answer.statusCode()).as(answer.body()).isEqualTo(status);
        assertThat(answer.body()).contains(code).contains("\"outcome\":\"not_run\"");
    }

    @ParameterizedTest
    @CsvSource({
        "'{}'",
        "'no json'",
        "'{\"name\":\"x\",\"tasks\":\"many\"}'",
        "''",
    })
    void unreadableJobIsRefused(String body) {
        HttpResponse<String> answer = submit(body, "Bearer key-a.secret");

        assertThat(answer.statusCode()).as(answer.body()).isEqualTo(400);
        assertThat(answer.body()).contains("INVALID_REQUEST");
    }

    @Test
    void unknownJobIsRefused() {
        assertThat(read("job-unknown")).contains("UNKNOWN_JOB");
    }

    private static HttpResponse<String> submit(String body, String key) {
        return fixture.post("/v1/queues/bundles/jobs", body, "Authorization", key);
    }

    private static String read(String job) {
        return fixture.send(
                        fixture.request("/v1/jobs/" + job)
                                .header("Authorization", "Bearer key-a.secret"))
                .body();
    }
}
