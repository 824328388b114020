package org.marjoramnotch.endtoend;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ReplicaRepairTest {
    private static final int RULE_CHANGES = 200;

    /** The lost identity is removed, the new one added as a learner and then promoted. */
    private static final int MEMBERSHIP_CHANGES = 3;

    @TempDir static Path folder;
    private static Cell cell;
    private static StandInEndpoints endpoints;
    private CallerLoad load;
    private RulesTestClient rules;

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
    void awaitService() {
        cell.restartEnded();
        cell.awaitReady();
        load = new CallerLoad(cell.caller(), cell.addresses(), TestRules.ONCE_QUEUE, TestRules.KEY);
        rules = new RulesTestClient(cell.caller());
        cell.awaitService(load);
    }

    @Test
    void replicaWithEmptiedFolderVotesAgainAndCellSurvivesSecondLoss() {
        DaemonProcess entry = cell.find(CellRole.ENTRY);
        DaemonProcess lost = cell.find(CellRole.FOLLOWER);
        JobClient jobs = new JobClient(cell.caller(), TestRules.KEY);
        String job = jobs.submit(entry.httpAddress(), TestRules.BATCH_QUEUE, 2, "100");
        JsonNode before = rules.read(entry);
        Poll.until("the ends of all attempts are committed", () -> cell.running() == 0);
        long appended = cell.statusOf(entry).orElseThrow().path("commitIndex").asLong();
        lost.kill();
        cell.emptyDataFolder(lost);
        lost.restart();
        Poll.until("the new replica is added and votes", () -> isRepaired(entry, appended));
        cell.awaitReady();
        DaemonProcess second = cell.leader();
        second.kill();
        cell.awaitService(load);
        DaemonProcess left = lost == second ? entry : lost;
        assertThat(rules.read(left)).isEqualTo(before);
        assertThat(jobs.status(left.httpAddress(), job).path("queued").asInt()).isEqualTo(2);
    }

    @Test
    void restartOfAllDaemonsKeepsHundredsOfChanges() {
        DaemonProcess entry = cell.find(CellRole.ENTRY);
        JsonNode before = rules.read(entry);
        long version = before.path("version").asLong();
        String text = before.path("text").asText();
        for (int change = 0; change < RULE_CHANGES; change++) {
            text = TestRules.withLimit(before.path("text").asText(), 100 + change);
            version = rules.change(entry, "change-" + change, version, text);
        }
        assertThat(version).isEqualTo(before.path("version").asLong() + RULE_CHANGES);
        List<DaemonProcess> daemons = cell.daemons();
        daemons.forEach(DaemonProcess::kill);
        daemons.forEach(DaemonProcess::restart);
        cell.awaitReady();
        for (DaemonProcess daemon : daemons) {
            JsonNode after = rules.read(daemon);
            assertThat(after.path("version").asLong()).isEqualTo(version);
            assertThat(after.path("text").asText()).isEqualTo(text);
        }
        cell.awaitService(load);
    }

    /**
     * Returns whether the repair is complete. The lost identity counts as a voter until it is
     * removed, so the number of voters does not suffice: the membership changes must be committed
     * too. The commit index shows this, because nothing else is committed in the meantime.
     */
    private boolean isRepaired(DaemonProcess daemon, long appended) {
        return cell.statusOf(daemon)
                .filter(
                        status ->
                                status.path("commitIndex").asLong()
                                        >= appended + MEMBERSHIP_CHANGES)
                .filter(status -> status.path("learners").isEmpty())
                .filter(status -> status.path("voters").size() == 3)
                .isPresent();
    }
}
