package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramnotch.model.fleet.AdviceTiming;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.WorkerId;

/** Guards against stops that break the rules of runs, or that stop more than is needed. */
class PreemptionTest {
    private static final int WORKERS = 10;
    private static final int CORES = 40;

    @Test
    void nothingIsStoppedWhileCapacityIsFree() {
        PreemptionCell pool = new PreemptionCell(1, true);
        pool.addWorkers(WORKERS);
        pool.submitWide(CORES - 1, false);
        pool.cell.run(2_500);
        JobId urgent = pool.submitShort();
        assertThat(pool.completesAll(20_000)).isTrue();
        assertThat(pool.isInTime(urgent)).isTrue();
        assertThat(pool.stops()).isEmpty();
    }

    /** A gang is stopped whole; its loss of eight processors is too much for one short task. */
    @ParameterizedTest
    @ValueSource(ints = {2, 8})
    void gangIsStoppedWholeOrNotAtAll(int members) {
        PreemptionCell pool = new PreemptionCell(2, true);
        new SimulatedGangs(pool.cell);
        pool.addWorkers(WORKERS);
        for (int gang = 0; gang < CORES / members; gang++) {
            pool.submitWide(members, true);
        }
        pool.cell.run(2_100);
        pool.submitShort();
        pool.cell.run(1_000);
        assertThat(pool.stops()).hasSize(members == 2 ? members : 0);
        assertThat(pool.completesAll(30_000)).isTrue();
        pool.checkStops();
    }

    /** The advisor grants a third of the workers; a stop elsewhere would free nothing of use. */
    @ParameterizedTest
    @ValueSource(ints = {0, 39})
    void runsAreStoppedOnlyOnWorkersWithTicket(int daemons) {
        AdviceTiming timing = new AdviceTiming(30, 0.5, 2_500);
        PreemptionCell pool = new PreemptionCell(5, true, Optional.of(timing));
        ReplayAdvisor advisor =
                new ReplayAdvisor(
                        pool.cell, Map.of("s", new ReplayAdvisor.QueueAdvice(timing, 0.34)), 3);
        advisor.addDaemons(daemons);
        pool.cell.afterEachStep(advisor::advance);
        pool.addWorkers(WORKERS);
        pool.submitWide(CORES, false);
        pool.cell.run(2_100);
        JobId urgent = pool.submitShort();
        pool.cell.run(3_000);
        assertThat(pool.stops().isEmpty()).isEqualTo(daemons == 0);
        Set<String> used =
                DecisionFields.of(pool.cell.decisionLog, "run_started").stream()
                        .filter(start -> start.get("run").startsWith(urgent.value()))
                        .map(start -> start.get("worker"))
                        .collect(Collectors.toSet());
        assertThat(used)
                .containsAll(pool.stops().stream().map(stop -> stop.get("worker")).toList());
    }

    @ParameterizedTest(name = "seed {0}")
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void randomFaultsBreakNoRule(long seed) {
        PreemptionCell pool = new PreemptionCell(seed, true);
        pool.addWorkers(WORKERS);
        for (int step = 0; step < 2 * WORKERS; step++) {
            pool.submitWide(CORES / WORKERS, false);
        }
        pool.cell.run(1_500);
        pool.cell.loseCalls(0.05);
        for (int round = 0; round < 40; round++) {
            pool.submitShort();
            pool.cell.run(20);
            WorkerId worker = new WorkerId("w-%02d".formatted(pool.cell.random().nextInt(WORKERS)));
            int fault = pool.cell.random().nextInt(12);
            pool.cell.hang(worker, fault == 0);
            pool.cell.cutOff(worker, fault == 1);
            if (fault == 2) {
                pool.cell.changeLeader();
            } else if (fault == 3) {
                pool.cell.restartFromSnapshot();
            } else if (fault == 4) {
                pool.restart(worker);
            }
            pool.cell.run(200);
        }
        pool.cell.loseCalls(0);
        for (WorkerId worker : pool.cell.workers.keySet()) {
            pool.cell.hang(worker, false);
            pool.cell.cutOff(worker, false);
        }
        assertThat(pool.completesAll(60_000)).isTrue();
        assertThat(pool.stops()).isNotEmpty();
        pool.checkAttempts();
    }

    /** The pool, the worker of the stopped run, its workflow and the urgent one. */
    private record Preempted(PreemptionCell pool, WorkerId worker, JobId victim, JobId urgent) {}

    static Stream<Arguments> faults() {
        return Stream.of(
                row("stop lost", (run, cell) -> cell.network.ignoreOrders(run.worker(), true)),
                row("worker hangs", (run, cell) -> cell.hang(run.worker(), true)),
                row("worker partitioned", (run, cell) -> cell.cutOff(run.worker(), true)),
                row("worker gone", (run, cell) -> cell.crash(run.worker())),
                row("worker restarts", (run, cell) -> run.pool().restart(run.worker())),
                row("calls lost and late", (run, cell) -> cell.loseCalls(0.3)),
                row("store stalls", (run, cell) -> cell.delayCommits(3_000)),
                row("leader changes", (run, cell) -> cell.changeLeader()),
                row("all restart", (run, cell) -> cell.restartFromSnapshot()),
                row("urgent cancelled", (run, cell) -> run.pool().cancel(run.urgent(), "/s/")),
                row("victim cancelled", (run, cell) -> run.pool().cancel(run.victim(), "/w/")));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("faults")
    void faultDuringStopBreaksNoRule(String name, BiConsumer<Preempted, WorkflowCell> fault) {
        PreemptionCell pool = new PreemptionCell(3, true);
        pool.addWorkers(WORKERS);
        for (int step = 0; step < 4; step++) {
            pool.submitWide(CORES / 4, false);
        }
        pool.cell.run(2_100);
        JobId urgent = pool.submitShort();
        while (pool.stops().isEmpty()) {
            pool.cell.run(5);
        }
        Map<String, String> stop = pool.stops().get(0);
        JobId victim = new JobId(stop.get("run").split("\\.")[0]);
        WorkerId worker = new WorkerId(stop.get("worker"));
        fault.accept(new Preempted(pool, worker, victim, urgent), pool.cell);
        pool.cell.run(4_000);
        pool.cell.network.ignoreOrders(worker, false);
        pool.cell.hang(worker, false);
        pool.cell.cutOff(worker, false);
        pool.cell.loseCalls(0);
        pool.cell.delayCommits(0);

        JobId[] cancelled =
                name.equals("urgent cancelled")
                        ? new JobId[] {urgent}
                        : name.equals("victim cancelled") ? new JobId[] {victim} : new JobId[0];
        assertThat(pool.completesAll(40_000, cancelled)).isTrue();
        pool.checkStops();
        if (cancelled.length == 0 || cancelled[0].equals(victim)) {
            assertThat(pool.isComplete(urgent)).isTrue();
        }
    }

    private static Arguments row(String name, BiConsumer<Preempted, WorkflowCell> fault) {
        return Arguments.of(name, fault);
    }
}
