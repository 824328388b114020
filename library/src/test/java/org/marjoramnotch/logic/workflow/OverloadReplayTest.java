package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against work that is accepted although it becomes worthless, and needless refusals. */
class OverloadReplayTest {
    private static final double SHORT_FACTOR = 2.4;
    private static final long LONGEST_PAUSE_MILLISECONDS = 10_000;

    /** Accepted work may become worthless at most this often: estimates are never exact. */
    private static final double MOST_WORTHLESS_SHARE = 0.02;

    /** One team at a multiple of its usual rates, for 10 s, beside short work at 2.4 times. */
    @ParameterizedTest(name = "seed {0}, {1} times")
    @CsvSource({"1, 4", "1, 6", "2, 6", "1, 7"})
    void burstOfOneTeam(long seed, double factor) {
        OverloadReplay replay = new OverloadReplay(seed, 1);
        replay.run(3_000, 1, 1, -1, 1);
        replay.run(10_000, SHORT_FACTOR, 1, 0, factor);
        replay.run(12_000, 1, 1, -1, 1);
        check(replay);
    }

    /** The other loads and failures, each in the middle of a burst at 6 times. */
    enum Event {
        NONE,
        /** Another team has a burst at 5 times next. */
        SECOND_BURST,
        /** A new leader knows no ratio and no start times. */
        NEW_LEADER,
        LIMIT_LOWERED,
        LIMIT_LIFTED,
        /** No worker of the pool is usable for 3 s. */
        POOL_LOST
    }

    /**
     * Red since teams are served by weighted share: work that a limit of twice the share let in
     * waits behind other teams once the limit is lifted.
     */
    @Test
    @Tag("known-red")
    void limitLiftedDuringBurst() {
        checkEventDuringBurst(Event.LIMIT_LIFTED);
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "LIMIT_LIFTED")
    void eventsDuringBurst(Event event) {
        checkEventDuringBurst(event);
    }

    private static void checkEventDuringBurst(Event event) {
        OverloadReplay replay = new OverloadReplay(3, 1);
        replay.run(3_000, 1, 1, -1, 1);
        replay.run(4_000, SHORT_FACTOR, 1, 0, 6);
        if (event == Event.NEW_LEADER) {
            replay.cell.changeLeader();
        } else if (event == Event.LIMIT_LOWERED) {
            replay.configure(48_000);
        } else if (event == Event.LIMIT_LIFTED) {
            replay.configure(0);
        } else if (event == Event.POOL_LOST) {
            replay.cell.workers.keySet().forEach(worker -> replay.cell.cutOff(worker, true));
            replay.run(3_000, SHORT_FACTOR, 1, 0, 6);
            replay.cell.workers.keySet().forEach(worker -> replay.cell.cutOff(worker, false));
            // Work accepted before can't know how long the pool stays without workers.
            replay.result.countFrom(replay.cell.now());
        }
        replay.run(6_000, SHORT_FACTOR, 1, 0, 6);
        if (event == Event.SECOND_BURST) {
            replay.run(10_000, SHORT_FACTOR, 1, 1, 5);
        }
        replay.run(12_000, 1, 1, -1, 1);
        check(replay);
    }

    /** Wide work fills the pool; short work comes before it, and neither is accepted in vain. */
    @ParameterizedTest(name = "wide work at {0} times")
    @CsvSource({"3", "6"})
    void wideWorkFillsThePool(double factor) {
        OverloadReplay replay = new OverloadReplay(4, 1);
        replay.configure(0);
        replay.run(3_000, 1, 1, -1, 1);
        replay.run(20_000, 1, factor, -1, 1);
        replay.run(12_000, 1, 1, -1, 1);
        check(replay);
    }

    /** Tasks of short work take a multiple of their estimate. */
    @ParameterizedTest(name = "run time is {0} times the estimate")
    @CsvSource({"0.5", "2"})
    void wrongEstimates(double runFactor) {
        OverloadReplay replay = new OverloadReplay(5, runFactor);
        replay.run(3_000, 1, 1, -1, 1);
        replay.run(10_000, SHORT_FACTOR, 1, 0, 6);
        replay.run(12_000, 1, 1, -1, 1);
        check(replay);
    }

    /**
     * A run takes longer than its result has a value. Only work that finds room is accepted, and
     * wide work is served as before.
     */
    @Test
    void tasksOfSevenTimesTheirEstimate() {
        OverloadReplay replay = new OverloadReplay(5, 7);
        replay.run(3_000, 1, 1, -1, 1);
        replay.run(10_000, SHORT_FACTOR, 1, 0, 6);
        replay.run(12_000, 1, 1, -1, 1);
        replay.run(40_000, 0, 0, -1, 1);
        ReplayResult result = replay.result;
        assertThat(result.count(true, 2)).as("%s", result).isZero();
        assertThat(result.refusedWithRoom()).as("%s", result).isZero();
        assertThat(result.refused(false)).isGreaterThan(result.count(false, 2));
    }

    private static void check(OverloadReplay replay) {
        replay.run(40_000, 0, 0, -1, 1);
        ReplayResult result = replay.result;
        assertThat(result.count(false, 2) + result.count(true, 2))
                .as("accepted and worthless: %s", result)
                .isLessThanOrEqualTo((long) (MOST_WORTHLESS_SHARE * result.accepted()));
        assertThat(result.refusedWithRoom()).as("refused with room: %s", result).isZero();
        assertThat(result.refusedAfterBacklog()).as("after the backlog: %s", result).isZero();
        assertThat(result.longestPause()).isLessThanOrEqualTo(LONGEST_PAUSE_MILLISECONDS);
    }
}
