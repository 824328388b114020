package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.function.IntToDoubleFunction;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.message.ApplyConfiguration;
import org.marjoramnotch.model.message.CallTarget;
import org.marjoramnotch.model.message.SubmitWorkflowRequest;
import org.marjoramnotch.model.resource.Resources;

/**
 * Guards against a team in a burst that makes the work of all other teams wait. Each load asks for
 * more than the pool can run for 8 s; without ranking by share, all teams wait for the same time.
 */
class SharingReplayTest {
    private static final long BEFORE_MILLISECONDS = 400;
    private static final long BURST_MILLISECONDS = 8_000;
    private static final long AFTER_MILLISECONDS = 4_000;

    /** How long work may wait to start and still meet its objective. */
    private static final long SLACK_MILLISECONDS = 570;

    /** The period of the burst in which a failure happens. */
    private static final long FAILURE_AFTER_MILLISECONDS = 3_000;

    /** What happens during a burst. */
    enum Failure {
        NONE,
        NEW_LEADER,
        WEIGHTS_ZERO,
        NO_WORKERS_AT_FIRST
    }

    private final SharingReplay replay = new SharingReplay(12);

    @ParameterizedTest(name = "{0} of all usually, {1} large, {2}-{3} at {4} times, {5}")
    @CsvSource({
        "0.85, 0, 0, 0, 7, NONE",
        "0.80, 3, 0, 0, 4, NONE",
        "0.70, 0, 0, 1, 6, NONE",
        "0.85, 0, 20, 20, 7, NONE",
        "0.85, 0, 0, 0, 7, NEW_LEADER",
        "0.85, 0, 0, 0, 7, WEIGHTS_ZERO",
        "0.85, 0, 0, 0, 7, NO_WORKERS_AT_FIRST",
    })
    void burstLetsOtherTeamsStart(
            double usual, int large, int first, int last, double factor, Failure failure) {
        replay.configure(0, 1, failure == Failure.WEIGHTS_ZERO ? 0 : 1);
        if (failure != Failure.NO_WORKERS_AT_FIRST) {
            replay.addWorkers();
        }
        replay.run(BEFORE_MILLISECONDS, team -> load(team, usual, large));
        if (failure == Failure.NO_WORKERS_AT_FIRST) {
            replay.addWorkers();
        }
        IntToDoubleFunction burst =
                team -> load(team, usual, large) * (team >= first && team <= last ? factor : 1);
        replay.run(FAILURE_AFTER_MILLISECONDS, burst);
        if (failure == Failure.NEW_LEADER) {
            replay.cell.changeLeader();
        }
        replay.run(BURST_MILLISECONDS - FAILURE_AFTER_MILLISECONDS, burst);
        replay.run(AFTER_MILLISECONDS, team -> load(team, usual, large));

        int[] others =
                IntStream.range(0, SharingReplay.TEAMS)
                        .filter(team -> team < first || team > last)
                        .toArray();
        assertThat(SharingReplay.slowestTenth(replay.waits(others))).isLessThan(SLACK_MILLISECONDS);
    }

    /** Guards against weights of an earlier configuration. */
    @ParameterizedTest(name = "new weight of the team in the burst: {0}")
    @CsvSource({"1, true", "40, false"})
    void newWeightsApplyAtOnce(long newWeight, boolean waits) {
        replay.configure(0, 1, 1);
        replay.addWorkers();
        replay.run(BEFORE_MILLISECONDS, team -> load(team, 0.85, 0));
        replay.configure(0, newWeight, 1);
        replay.run(BURST_MILLISECONDS, team -> load(team, 0.85, 0) * (team == 0 ? 7 : 1));
        long[] inBurst = replay.waits(0);
        assertThat(SharingReplay.slowestTenth(inBurst) > 1_000).isEqualTo(waits);
    }

    /** Guards against operators who can't see which team takes more than its share. */
    @ParameterizedTest(name = "burst of {0} times")
    @CsvSource({"1, 0.4, 0", "7, 0.85, 4"})
    void teamsAboveTheirShareAreLogged(double factor, double usual, int atLeast) {
        replay.configure(0, 1, 1);
        replay.addWorkers();
        replay.run(BURST_MILLISECONDS, team -> load(team, usual, 0) * (team == 0 ? factor : 1));
        List<DecisionLogEntry> lines =
                replay.cell.decisionLog.stream()
                        .filter(entry -> entry.event().equals("capacity_short"))
                        .toList();
        assertThat(lines).hasSizeBetween(atLeast, (int) (BURST_MILLISECONDS / 1_000));
        assertThat(lines.stream().filter(line -> line.toString().contains("largest, pool/team-0:")))
                .hasSizeGreaterThanOrEqualTo(atLeast);
    }

    /** Guards against a team that takes all capacity that becomes free in one round. */
    @Test
    void freedCapacityIsSharedByWeight() {
        WorkflowCell cell = new WorkflowCell(3);
        cell.answerListsPromptly();
        cell.request(new ApplyConfiguration(TestFleet.configuration(1)));
        cell.run(100);
        cell.addWorker("w-1", new Resources(8_000, 16_000, 0));
        cell.workers.values().forEach(worker -> worker.useRunTimes(step -> 300));
        cell.run(2_000);
        submit(cell, "/open/", 0, Optional.empty(), 8_000);
        cell.run(100);
        for (int number = 1; number <= 16; number++) {
            String key = number <= 8 ? TestFleet.KEY : "key-two";
            submit(cell, "/quick/", number, Optional.of(key), 1_000);
        }
        cell.run(400);
        assertThat(cell.ledger.usageOf(new TeamName("one")).processorMillis()).isEqualTo(6_000);
        assertThat(cell.ledger.usageOf(new TeamName("two")).processorMillis()).isEqualTo(2_000);
    }

    private static void submit(
            WorkflowCell cell, String prefix, int number, Optional<String> key, long demand) {
        cell.request(
                new SubmitWorkflowRequest(
                        new CallTarget("callers.example", prefix + "%016x".formatted(number), key),
                        TestFleet.draft(1, demand)));
    }

    private static double load(int team, double usual, int large) {
        if (team == SharingReplay.NO_TEAM) {
            return usual / SharingReplay.TEAMS;
        }
        // A large team sends as much as five others.
        double units = SharingReplay.TEAMS + 4.0 * large;
        return usual / units * (team < large ? 5 : 1);
    }
}
