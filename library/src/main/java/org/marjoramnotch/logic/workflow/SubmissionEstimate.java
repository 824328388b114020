package org.marjoramnotch.logic.workflow;

import org.marjoramnotch.logic.admission.Submission;
import org.marjoramnotch.model.fleet.QueueDefinition;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.Workflow;

/** Estimates what a submitted workflow needs. */
final class SubmissionEstimate {
    private SubmissionEstimate() {}

    /**
     * Returns the submission for the admission policy.
     *
     * @param ratio the measured ratio of run time to estimate of the queue. It corrects the time
     *     that the work takes; the objective is what callers were promised by their estimates.
     */
    static Submission of(Workflow workflow, QueueDefinition queue, double ratio) {
        long criticalPath = LatencyObjectives.criticalPath(workflow, queue);
        return new Submission(
                workflow.id(),
                queue.pool(),
                queue.priority(),
                workflow.team(),
                queue.advice().isPresent(),
                workflow.steps().stream()
                        .filter(step -> step.after().isEmpty())
                        .mapToLong(step -> step.tasks() * step.reserved().processorMillis())
                        .sum(),
                LatencyObjectives.objective(criticalPath, queue),
                (long) (criticalPath * Math.max(1, ratio)),
                workflow.steps().stream().mapToDouble(step -> ratio * processorTime(step)).sum(),
                workflow.steps().stream()
                        .mapToLong(SubmissionEstimate::processorMillisAtOnce)
                        .max()
                        .orElse(0));
    }

    private static long processorMillisAtOnce(StepDefinition step) {
        return step.reserved().times(step.gang() ? step.tasks() : 1).processorMillis();
    }

    private static double processorTime(StepDefinition step) {
        return (double) step.tasks()
                * step.reserved().processorMillis()
                * LatencyObjectives.estimate(step);
    }
}
