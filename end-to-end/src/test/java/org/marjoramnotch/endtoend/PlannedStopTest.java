package org.marjoramnotch.endtoend;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class PlannedStopTest {
    private static final int CALLERS = 8;
    private static final int SLOW_REQUESTS = 4;

    /** The documented exit status of a process that was ended by SIGTERM. */
    private static final int EXIT_STATUS = 143;

    @TempDir static Path folder;
    private static Cell cell;
    private static StandInEndpoints endpoints;

    @BeforeAll
    static void start() throws Exception {
        cell = new Cell(folder, 3, 2);
        endpoints = new StandInEndpoints(cell.addresses(), TestRules.SERVICE, 2);
        cell.form(TestRules.TEXT);
    }

    @AfterAll
    static void stop() {
        endpoints.close();
        cell.close();
    }

    @ParameterizedTest
    @EnumSource
    void stopUnderLoadCutsOffNoRequest(CellRole role) {
        cell.restartEnded();
        cell.awaitReady();
        CallerLoad load =
                new CallerLoad(
                        cell.caller(), cell.addresses(), TestRules.ONCE_QUEUE, TestRules.KEY);
        cell.awaitService(load);
        DaemonProcess stopping = cell.find(role);
        JobClient jobs = new JobClient(cell.caller(), TestRules.KEY);
        String job = jobs.submit(stopping.httpAddress(), TestRules.BATCH_QUEUE, 1, "100");
        List<CallerAnswer> slow = new ArrayList<>();
        List<CallerAnswer> answers =
                load.runDuring(
                        CALLERS,
                        () -> {
                            List<CompletableFuture<CallerAnswer>> inFlight =
                                    load.startSlow(
                                            endpoints, stopping.httpAddress(), SLOW_REQUESTS);
                            CompletableFuture<JsonNode> watch =
                                    CompletableFuture.supplyAsync(
                                            () -> jobs.watch(stopping.httpAddress(), job),
                                            HttpCaller.THREADS);
                            assertThat(stopping.stop()).isEqualTo(EXIT_STATUS);
                            inFlight.forEach(answer -> slow.add(answer.join()));
                            assertThat(watch.join().path("state").asText()).isEqualTo("queued");
                        });
        assertThat(slow).hasSize(SLOW_REQUESTS).allMatch(CallerAnswer::answered);
        new AnswerCheck(endpoints, TestRules.ONCE_QUEUE).check(slow);
        new AnswerCheck(endpoints, TestRules.ONCE_QUEUE).check(answers);
        assertThat(answers).allSatisfy(answer -> checkNotCutOff(answer, stopping));
        stopping.restart();
        cell.awaitReady();
        assertThat(load.call(stopping.httpAddress(), role + " restarted").answered()).isTrue();
    }

    /**
     * Checks that no request was cut off. A request that the stopping daemon did not accept may be
     * refused or find no listener.
     */
    private static void checkNotCutOff(CallerAnswer answer, DaemonProcess stopping) {
        boolean sentToStopping = answer.address().equals(stopping.httpAddress());
        if (!sentToStopping) {
            assertThat(answer.status()).as(answer.toString()).isEqualTo(200);
        } else if (!answer.answered()) {
            assertThat(answer.outcome()).as(answer.toString()).isIn("not_run", null);
            assertThat(endpoints.executions(answer.body())).isZero();
        }
    }
}
