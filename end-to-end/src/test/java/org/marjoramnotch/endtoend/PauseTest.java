package org.marjoramnotch.endtoend;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class PauseTest {
    private static final int CALLERS = 8;
    private static final int SLOW_REQUESTS = 6;

    /** Longer than the lease of an entry, which is 5 s. */
    private static final long LONG_PAUSE_MILLISECONDS = 7_000;

    @TempDir static Path folder;
    private static Cell cell;
    private static StandInEndpoints endpoints;
    private CallerLoad load;

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

    @BeforeEach
    void awaitService() {
        cell.awaitReady();
        load = new CallerLoad(cell.caller(), cell.addresses(), TestRules.ONCE_QUEUE, TestRules.KEY);
        cell.awaitService(load);
    }

    @Test
    void pausedLeaderIsReplacedAndRevertsNothing() {
        RulesTestClient rules = new RulesTestClient(cell.caller());
        DaemonProcess old = cell.leader();
        JsonNode before = rules.read(old);
        String changed = TestRules.withLimit(before.path("text").asText(), 65);
        JsonNode[] duringPause = new JsonNode[1];
        JsonNode[] afterPause = new JsonNode[1];
        List<CallerAnswer> answers =
                load.runDuring(
                        CALLERS,
                        () -> {
                            old.pause();
                            DaemonProcess next = cell.leader();
                            rules.change(next, "pause", before.path("version").asLong(), changed);
                            duringPause[0] = cell.statusOf(next).orElseThrow();
                            old.resume();
                            afterPause[0] = rules.read(old);
                        });
        new AnswerCheck(endpoints, TestRules.ONCE_QUEUE).check(answers);
        assertThat(answers).anyMatch(CallerAnswer::answered);
        assertThat(duringPause[0].path("leader").asText()).isNotEqualTo(old.vm());
        assertThat(afterPause[0].path("text").asText()).isEqualTo(changed);
        cell.awaitReady();
        assertThat(load.call(old.httpAddress(), "after the pause").answered()).isTrue();
        JsonNode status = cell.statusOf(old).orElseThrow();
        assertThat(status.path("voters")).hasSize(3);
        assertThat(status.path("term").asLong())
                .isGreaterThanOrEqualTo(duringPause[0].path("term").asLong());
        if (status.path("term").equals(duringPause[0].path("term"))) {
            assertThat(status.path("leader")).isEqualTo(duringPause[0].path("leader"));
        }
    }

    @Test
    void slotsOfPausedEntryAreFreedOnceAndNothingRunsTwice() {
        DaemonProcess entry = cell.find(CellRole.ENTRY);
        List<CompletableFuture<CallerAnswer>> inFlight =
                load.startSlow(endpoints, entry.httpAddress(), SLOW_REQUESTS);
        assertThat(cell.running()).isEqualTo(SLOW_REQUESTS);
        entry.pause();
        Poll.until("the endpoints' renewals free the slots", () -> cell.running() == 0);
        Poll.pause(LONG_PAUSE_MILLISECONDS);
        entry.resume();
        List<CallerAnswer> answers = new ArrayList<>();
        inFlight.forEach(answer -> answers.add(answer.join()));
        new AnswerCheck(endpoints, TestRules.ONCE_QUEUE).check(answers);
        assertThat(answers).allMatch(answer -> endpoints.executions(answer.body()) == 1);
        cell.awaitReady();
        assertThat(load.call(entry.httpAddress(), "after the entry's pause").answered()).isTrue();
        Poll.until("all slots are released", () -> cell.running() == 0);
    }
}
