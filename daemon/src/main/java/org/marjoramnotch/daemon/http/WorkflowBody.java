package org.marjoramnotch.daemon.http;

import java.util.List;
import java.util.Optional;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.Recurrence;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.WorkflowDraft;

/**
 * The JSON body of a submitted workflow; see {@link WorkflowDraft} and {@link StepDefinition}.
 *
 * @param payload the payload passed to each task
 * @param steps the steps; each may depend only on steps before it
 * @param recurrence the times at which the steps run; if absent, they run once, immediately
 */
record WorkflowBody(
        Optional<String> payload, List<StepBody> steps, Optional<RecurrenceBody> recurrence) {
    WorkflowDraft draft() {
        return new WorkflowDraft(
                payload.orElse(""),
                steps.stream().map(StepBody::definition).toList(),
                recurrence.map(RecurrenceBody::recurrence));
    }

    /** The times at which the steps run, in milliseconds since 1970. */
    record RecurrenceBody(
            int occurrences, long firstDueEpochMilliseconds, long intervalMilliseconds) {
        Recurrence recurrence() {
            return new Recurrence(occurrences, firstDueEpochMilliseconds, intervalMilliseconds);
        }
    }

    /** A step. All properties except the number of tasks and the resource demand are optional. */
    record StepBody(
            int tasks,
            long processorMillis,
            long memoryMegabytes,
            Optional<Long> accelerators,
            Optional<Long> estimateMilliseconds,
            Optional<List<Integer>> after,
            Optional<Boolean> checkpointing,
            Optional<Boolean> gang,
            Optional<Boolean> sameRack,
            Optional<String> requiredLabel,
            Optional<String> dataRack,
            Optional<Integer> mostPerWorker,
            Optional<Boolean> speculative,
            Optional<Boolean> standing,
            Optional<String> image,
            Optional<Long> latencyTargetMilliseconds,
            Optional<Boolean> filler,
            Optional<Integer> mostAbsent) {
        StepDefinition definition() {
            return StepDefinition.builder()
                    .tasks(tasks)
                    .demand(
                            Resources.ofInput(
                                    processorMillis, memoryMegabytes, accelerators.orElse(0L)))
                    .estimateMilliseconds(estimateMilliseconds.orElse(0L))
                    .after(after.orElse(List.of()).stream().distinct().toList())
                    .checkpointing(checkpointing.orElse(false))
                    .gang(gang.orElse(false))
                    .sameRack(sameRack.orElse(false))
                    .requiredLabel(requiredLabel)
                    .dataRack(dataRack)
                    .mostPerWorker(mostPerWorker.orElse(0))
                    .speculative(speculative.orElse(false))
                    .standing(standing.orElse(false))
                    .image(image.orElse(""))
                    .latencyTargetMilliseconds(latencyTargetMilliseconds.orElse(0L))
                    .filler(filler.orElse(false))
                    .mostAbsent(mostAbsent.orElse(0))
                    .build();
        }
    }
}
