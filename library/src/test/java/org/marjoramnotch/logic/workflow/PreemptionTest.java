package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.function.BiConsumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
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

    /** The pool, the worker of the stopped run, its workflow and the urgent one. */
    private record Preempted(PreemptionCell pool, WorkerId worker, JobId victim, JobId urgent) {}

    static Stream<Arguments> faults() {
        return Stream.of(
                row("stop lost", (run, cell) -> cell.network.ignoreOrders(run.worker(), true)),
                row("worker hangs", (run, cell) -> cell.hang(run.worker(), true)),
                row("worker partitioned", (run, cell) -> cell.cutOff(run.worker(), true)),
                row("worker gone", (run, cell) -> cell.crash(run.worker())),
                row("worker restarts", (run, cell) -> restart(run.worker(), cell)),
                row("calls lost and late", (run, cell) -> cell.loseCalls(0.3)),
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

    private static void restart(WorkerId id, WorkflowCell cell) {
        FleetWorker worker = cell.workers.get(id).worker();
        cell.crash(id);
        cell.addWorker(
                new FleetWorker(
                        new WorkerIncarnation(id, WorkflowCell.EPOCH + cell.now()),
                        worker.pool(),
                        worker.address(),
                        worker.availabilityZone(),
                        worker.capacity(),
                        worker.labels(),
                        false));
    }

    private static Arguments row(String name, BiConsumer<Preempted, WorkflowCell> fault) {
        return Arguments.of(name, fault);
    }
}
