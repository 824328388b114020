package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.LinkedHashMap;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.workflow.RunEnd;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.RunOutcome;
import org.marjoramnotch.model.workflow.StepId;
import org.marjoramnotch.model.workflow.WorkflowTaskId;

class SpeedEstimatorTest {
    private final SpeedEstimator speeds = new SpeedEstimator(worker -> "");
    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(5);

    private void runStep(int number, Map<String, Double> factors) {
        StepId step = new StepId(new JobId("%016x".formatted(number)), 0, 0);
        double work = 200 + random.nextInt(2_000);
        int index = 0;
        for (Map.Entry<String, Double> factor : factors.entrySet()) {
            RunId run = new RunId(new WorkflowTaskId(step, index++), 1);
            double variation = 0.8 + 0.4 * random.nextDouble();
            speeds.onStarted(0, run);
            speeds.onEnded(
                    (long) (work * variation * factor.getValue()),
                    new WorkerId(factor.getKey()),
                    new RunEnd(run, RunOutcome.DONE, ""));
        }
    }

    @Test
    void slowAndFastWorkersAreDistinguished() {
        Map<String, Double> factors = new LinkedHashMap<>();
        factors.put("usual", 1.0);
        factors.put("fast", 0.8);
        factors.put("slow", 1.25);
        for (int step = 0; step < 40; step++) {
            runStep(step, factors);
        }
        double fast = speeds.slowness(new WorkerId("fast"));
        double usual = speeds.slowness(new WorkerId("usual"));
        double slow = speeds.slowness(new WorkerId("slow"));
        assertThat(fast).isLessThan(usual - 0.1);
        assertThat(slow).isGreaterThan(usual + 0.1);
    }

    @Test
    void workerThatBecomesSlowIsDetectedWithinFewRuns() {
        Map<String, Double> factors = new LinkedHashMap<>();
        factors.put("usual", 1.0);
        factors.put("other", 1.0);
        factors.put("slow", 6.5);
        for (int step = 0; step < 4; step++) {
            runStep(step, factors);
        }
        assertThat(speeds.slowness(new WorkerId("slow"))).isGreaterThan(0.5);
    }

    @Test
    void failedRunsAreIgnored() {
        StepId step = new StepId(new JobId("0123456789abcdef"), 0, 0);
        for (int index = 0; index < 10; index++) {
            RunId run = new RunId(new WorkflowTaskId(step, index), 1);
            speeds.onStarted(0, run);
            speeds.onEnded(10, new WorkerId("w"), new RunEnd(run, RunOutcome.FAILED, ""));
        }
        assertThat(speeds.slowness(new WorkerId("w"))).isZero();
    }
}
