package org.marjoramnotch.logic.preemption;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.RunEnd;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.RunOutcome;
import org.marjoramnotch.model.workflow.StepId;
import org.marjoramnotch.model.workflow.WorkflowTaskId;

/** Guards against freed capacity that others take, or that is kept for nobody. */
class ReservedCapacityTest {
    private static final WorkerIncarnation WORKER = new WorkerIncarnation(new WorkerId("w"), 0);
    private static final StepId URGENT = new StepId(new JobId("0000000000000001"), 0, 0);
    private static final StepId OTHER = new StepId(new JobId("0000000000000002"), 0, 0);
    private static final RunId RUN = new RunId(new WorkflowTaskId(OTHER, 0), 1);
    private static final Resources DEMAND = new Resources(1_000, 100, 0);
    private static final Resources STOPPED = new Resources(1_500, 50, 0);

    private final ReservedCapacity reserved = new ReservedCapacity();

    @BeforeEach
    void stopRun() {
        PreemptionCandidate candidate =
                new PreemptionCandidate(
                        List.of(new PreemptionCandidate.Part(RUN, WORKER, STOPPED)),
                        2,
                        PreemptionLoss.ALL_WORK,
                        0,
                        0,
                        0,
                        false,
                        Optional.empty(),
                        false);
        reserved.add(
                0,
                new PreemptionPlan(
                        List.of(new PreemptionPlan.Stop(candidate, URGENT)),
                        List.of(new PreemptionPlan.Reservation(URGENT, WORKER, DEMAND)),
                        Map.of()));
    }

    private void expire(long nowMilliseconds, int waiting) {
        reserved.expire(nowMilliseconds, step -> waiting, worker -> true);
    }

    @Test
    void onlyWhatTheStopDoesNotFreeIsKeptBeforeItsEnd() {
        assertThat(reserved.keptOn(WORKER)).isEqualTo(new Resources(0, 50, 0));
        assertThat(reserved.surplusOn(WORKER, 0)).isEqualTo(new Resources(500, 0, 0));
    }

    @Test
    void freedCapacityIsKeptForItsStepForOneSecond() {
        assertThat(reserved.onEnded(300, RUN)).isTrue();
        expire(1_299, 1);
        assertThat(reserved.keptOn(WORKER)).isEqualTo(DEMAND);
        assertThat(reserved.keptOn(WORKER, OTHER)).isEqualTo(Resources.NONE);
        assertThat(reserved.keptOn(WORKER, URGENT)).isEqualTo(DEMAND);
        expire(1_300, 1);
        assertThat(reserved.isEmpty()).isTrue();
    }

    @Test
    void placedOrCancelledStepKeepsNothing() {
        reserved.onEnded(300, RUN);
        reserved.onPlaced(URGENT, WORKER);
        assertThat(reserved.isEmpty()).isTrue();
        stopRun();
        expire(1, 0);
        assertThat(reserved.count(URGENT)).isZero();
    }

    @Test
    void lostStopKeepsNothingForLongButCountsAsBeingStopped() {
        expire(2_000, 1);
        assertThat(reserved.count(URGENT)).isZero();
        assertThat(reserved.stoppingProcessorMillis(worker -> true)).isEqualTo(1_500);
    }

    @Test
    void stopsAreLearnedFromFiveOn() {
        StopTimes times = new StopTimes();
        for (int number = 1; number <= 5; number++) {
            assertThat(times.milliseconds()).isEqualTo(1_000);
            RunId run = new RunId(RUN.task(), number);
            times.onRequested(0, run);
            times.onEnded(40L * number, new RunEnd(run, RunOutcome.STOPPED, ""));
        }
        assertThat(times.milliseconds()).isEqualTo(200);
    }

    @Test
    void wavesOfEndsAreNoSteadyRate() {
        FreedCapacityMeter meter = new FreedCapacityMeter(0);
        assertThat(meter.perMillisecond(999)).isEmpty();
        meter.add(3_000, 10_000);
        assertThat(meter.perMillisecond(3_999)).hasValue(10_000 / 3_999.0);
        assertThat(meter.perMillisecond(4_000)).hasValue(0);
    }
}
