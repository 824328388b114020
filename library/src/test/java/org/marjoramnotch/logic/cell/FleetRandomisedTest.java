package org.marjoramnotch.logic.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class FleetRandomisedTest {
    @ParameterizedTest(name = "seed {0}")
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21})
    void noTaskStartsTwiceUnderFaults(long seed) {
        FleetSimulation cell = new FleetSimulationRun(seed, false).run();
        System.out.println(
                "event=fleet_run seed=%d starts=%d done=%d met=\"%s\""
                        .formatted(
                                seed,
                                cell.checker.starts(),
                                cell.checker.doneRuns(),
                                cell.occurrences()));
        assertThat(cell.checker.violations()).isEmpty();
        assertThat(cell.checker.doneRuns()).isPositive();
    }

    /**
     * A restart is followed by a cut, a worker leaves behind one, and tasks fail each time: guards
     * against a task at work twice and against a run beyond the failures that the queue allows.
     */
    @ParameterizedTest(name = "seed {0}")
    @ValueSource(longs = {36, 96, 114, 164, 222, 462, 470, 532, 536, 575, 586, 612, 631, 948, 949})
    void noRuleIsBrokenByFaultsThatFollowOneAnother(long seed) {
        FleetSimulation cell =
                new FleetSimulationRun(seed, FleetSimulationRun.Scenario.SUCCESSIVE_FAULTS, false)
                        .run();
        assertThat(cell.checker.violations()).isEmpty();
        assertThat(cell.checker.doneRuns()).isPositive();
    }

    /**
     * Guards against runs that are stopped for urgent work and run twice under faults. Each of the
     * seeds meets stops.
     */
    @ParameterizedTest(name = "seed {0}")
    @ValueSource(longs = {1, 10, 14, 27, 42, 49, 53, 55, 58, 80, 92, 112, 114, 132, 133, 138})
    void noTaskStartsTwiceUnderPreemption(long seed) {
        FleetSimulation cell =
                new FleetSimulationRun(seed, FleetSimulationRun.Scenario.PREEMPTION, false).run();
        System.out.println(
                "event=fleet_run seed=%d preempted=%d"
                        .formatted(seed, cell.occurrences().getOrDefault("preempted", 0)));
        assertThat(cell.checker.violations()).isEmpty();
        assertThat(cell.occurrences()).containsKey("preempted");
    }

    /**
     * Announcements of ends arrive when their workers have started again: guards against a life
     * that is held as released and gets no work, and against runs that are started twice.
     */
    @ParameterizedTest(name = "seed {0}")
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void lateReleaseLeavesEachWorkerAtWork(long seed) {
        FleetSimulationRun run =
                new FleetSimulationRun(seed, FleetSimulationRun.Scenario.DEPARTURES, false);
        FleetSimulation cell = run.run();
        assertThat(run.findIdleWorkers()).isEmpty();
        assertThat(cell.checker.violations()).isEmpty();
    }

    /**
     * The session of a dismissed life learns late that the next one answers, and fences it: guards
     * against a worker that refuses all orders of the leader that has enrolled it.
     */
    @ParameterizedTest(name = "seed {0}")
    @ValueSource(longs = {2083, 2713})
    void lateAnswerToDismissedLifeLeavesTheNextAtWork(long seed) {
        FleetSimulationRun run =
                new FleetSimulationRun(seed, FleetSimulationRun.Scenario.DEPARTURES, false);
        FleetSimulation cell = run.run();
        assertThat(run.findIdleWorkers()).isEmpty();
        assertThat(cell.checker.violations()).isEmpty();
    }

    /** A list overtakes the start of a run and is judged to be later within one millisecond. */
    @ParameterizedTest(name = "seed {0}")
    @ValueSource(longs = {1026, 2174, 2661, 3323})
    void listThatOvertakesStartDoesNotEndRun(long seed) {
        assertThat(violations(seed)).isEmpty();
    }

    /** An earlier leader's start reached the next incarnation before that was enrolled. */
    @ParameterizedTest(name = "seed {0}")
    @ValueSource(longs = {164, 530, 586, 858, 1467, 1581})
    void runOfNextIncarnationIsNotStartedAgainByNextLeader(long seed) {
        assertThat(violations(seed)).isEmpty();
    }

    /** The task was blocked for one lease only, and the next incarnation held a longer one. */
    @ParameterizedTest(name = "seed {0}")
    @ValueSource(longs = {2426, 3880})
    void runOfNextIncarnationIsNotStartedAgainBeforeItsEnrollment(long seed) {
        assertThat(violations(seed)).isEmpty();
    }

    /** The clock of the next incarnation shows an earlier time than the lease of the start. */
    @ParameterizedTest(name = "seed {0}")
    @ValueSource(longs = {254, 522})
    void lateStartForEarlierIncarnationDoesNotRepeatTask(long seed) {
        assertThat(violations(seed)).isEmpty();
    }

    /** The next incarnation discards an end that only its predecessor's number acknowledged. */
    @ParameterizedTest(name = "seed {0}")
    @ValueSource(longs = 1725)
    void lateListForEarlierIncarnationDiscardsNoEnd(long seed) {
        assertThat(violations(seed)).isEmpty();
    }

    private static List<String> violations(long seed) {
        return new FleetSimulationRun(seed, false).run().checker.violations();
    }
}
