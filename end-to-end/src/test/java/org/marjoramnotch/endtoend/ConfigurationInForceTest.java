package org.marjoramnotch.endtoend;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ConfigurationInForceTest {
    /**
     * Changes must be in force "within seconds"; there is no additional tolerance for a busy
     * machine.
     */
    private static final long IN_FORCE_MILLISECONDS = 3_000;

    private static final int ROUNDS_AFTER_WITHDRAWAL = 10;

    @TempDir static Path folder;
    private static Cell cell;
    private static StandInEndpoints endpoints;
    private CallerLoad load;
    private RulesTestClient rules;
    private JsonNode before;

    @BeforeAll
    static void start() throws Exception {
        cell = new Cell(folder, 3, 1);
        endpoints = new StandInEndpoints(cell.addresses(), TestRules.SERVICE, 1);
        cell.form(TestRules.TEXT);
    }

    @AfterAll
    static void stop() {
        endpoints.close();
        cell.close();
    }

    @BeforeEach
    void restore() {
        cell.restartEnded();
        cell.awaitReady();
        rules = new RulesTestClient(cell.caller());
        long version = rules.read(cell.leader()).path("version").asLong();
        rules.change(cell.leader(), "restore-" + version, version, TestRules.TEXT);
        before = rules.read(cell.leader());
        load = new CallerLoad(cell.caller(), cell.addresses(), TestRules.ONCE_QUEUE, TestRules.KEY);
        cell.awaitService(load);
    }

    @Test
    void withdrawnKeyIsRefusedByAllDaemonsAndItsFeedIsClosed() {
        DaemonProcess through = cell.find(CellRole.FOLLOWER);
        FeedReader feed = new FeedReader(cell.find(CellRole.ENTRY).httpAddress());
        feed.awaitFirstByte();
        assertThat(feed.isClosed()).isFalse();
        rules.change(through, "withdrawal", version(), withoutKey());
        Poll.pause(IN_FORCE_MILLISECONDS);
        assertThat(feed.isClosed()).as("the feed is closed in time").isTrue();
        for (int round = 0; round < ROUNDS_AFTER_WITHDRAWAL; round++) {
            for (String address : cell.addresses()) {
                CallerAnswer answer = load.call(address, "withdrawn-" + round);
                assertThat(answer.answer()).contains("KEY_REFUSED");
                assertThat(answer.saysNotRun()).isTrue();
                assertThat(endpoints.executions(answer.body())).isZero();
            }
        }
    }

    @Test
    void oneOfTwoRacingOperatorsWins() {
        List<CompletableFuture<HttpResponse<String>>> sent = new ArrayList<>();
        for (CellRole role : List.of(CellRole.FOLLOWER, CellRole.ENTRY)) {
            DaemonProcess daemon = cell.find(role);
            String text = TestRules.withLimit(text(), 100 + role.ordinal());
            sent.add(
                    CompletableFuture.supplyAsync(
                            () -> rules.send(daemon, "race-" + role, version(), text),
                            HttpCaller.THREADS));
        }
        List<HttpResponse<String>> answers = sent.stream().map(CompletableFuture::join).toList();
        assertThat(answers)
                .extracting(HttpResponse::statusCode)
                .containsExactlyInAnyOrder(200, 409);
        assertThat(answers)
                .filteredOn(answer -> answer.statusCode() == 409)
                .allSatisfy(answer -> assertThat(answer.body()).contains("VERSION_CONFLICT"));
        assertThat(rules.read(cell.leader()).path("version").asLong()).isEqualTo(version() + 1);
    }

    @Test
    void resendAfterLostAnswerReturnsTheFirstVersion() {
        DaemonProcess leader = cell.leader();
        String first = TestRules.withLimit(text(), 101);
        String later = TestRules.withLimit(text(), 102);
        CompletableFuture<HttpResponse<String>> lost =
                CompletableFuture.supplyAsync(
                        () -> rules.send(leader, "resent", version(), first), HttpCaller.THREADS);
        leader.kill();
        DaemonProcess entry = cell.find(CellRole.ENTRY);
        long accepted = rules.change(entry, "resent", version(), first);
        rules.change(entry, "later", accepted, later);
        long resent = rules.change(cell.leader(), "resent", version(), first);
        assertThat(resent).isEqualTo(accepted).isEqualTo(version() + 1);
        assertThat(rules.read(entry).path("text").asText()).isEqualTo(later);
        lost.handle((answer, failure) -> answer).join();
    }

    private long version() {
        return before.path("version").asLong();
    }

    private String text() {
        return before.path("text").asText();
    }

    private String withoutKey() {
        return text().lines()
                .filter(line -> !line.startsWith("key "))
                .collect(Collectors.joining("\n", "", "\n"));
    }
}
