package org.marjoramnotch.logic.workflow;

import java.util.HashMap;
import java.util.Map;
import org.marjoramnotch.logic.overload.RunTimeRatio;
import org.marjoramnotch.model.fleet.QueueDefinition;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.StepId;

/** Forecasts run times from the estimates of tasks and the measured runs of their queue. */
final class RunTimeForecast {
    /** Least rest of a run that has outlasted its forecast; run times vary by about a tenth. */
    private static final double LEAST_REST_SHARE = 0.1;

    private final Map<QueueName, RunTimeRatio> ratios = new HashMap<>();
    private final Map<JobId, Map<StepId, Long>> lastStarts = new HashMap<>();

    void onStarted(long nowMilliseconds, StepId step) {
        lastStarts
                .computeIfAbsent(step.workflow(), workflow -> new HashMap<>())
                .put(step, nowMilliseconds);
    }

    void onDone(QueueName queue, StepDefinition step, long runMilliseconds) {
        ratios.computeIfAbsent(queue, name -> new RunTimeRatio())
                .add(LatencyObjectives.estimate(step), runMilliseconds);
    }

    /** Discards the starts of a workflow that has ended. */
    void forget(JobId workflow) {
        lastStarts.remove(workflow);
    }

    /** Returns the measured ratio of run time to estimate; 1 if there were no runs. */
    double ratio(QueueDefinition queue) {
        RunTimeRatio ratio = ratios.get(queue.name());
        return ratio == null ? 1 : ratio.value();
    }

    /** Returns the expected run time of a task. */
    double expected(QueueDefinition queue, StepDefinition step) {
        return ratio(queue) * LatencyObjectives.estimate(step);
    }

    /**
     * Returns how long the running tasks of a step still run, by the latest start of a task, since
     * those of a step mostly start together. A step that an earlier leader started is halfway.
     */
    double rest(long nowMilliseconds, StepId step, double expectedMilliseconds) {
        Long startedAt = lastStarts.getOrDefault(step.workflow(), Map.of()).get(step);
        if (startedAt == null) {
            return expectedMilliseconds / 2;
        }
        double passed = nowMilliseconds - startedAt;
        // A run that has outlasted its forecast may take as long again as it has outlasted it.
        return Math.max(
                LEAST_REST_SHARE * expectedMilliseconds, Math.abs(expectedMilliseconds - passed));
    }
}
