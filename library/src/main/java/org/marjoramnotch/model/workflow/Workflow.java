package org.marjoramnotch.model.workflow;

import java.util.List;
import java.util.Optional;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.TeamName;

/**
 * A job that is a graph of steps.
 *
 * @param id chosen by its caller
 * @param queue the queue that it was handed to
 * @param team the team that it counts for; empty on an open queue without a key
 * @param payload handed to each task
 * @param steps the steps; each follows only steps before it
 * @param recurrence the times at which the steps run; empty for once, at once
 * @param submittedEpochMilliseconds when it was accepted, since 1970
 */
public record Workflow(
        JobId id,
        QueueName queue,
        Optional<TeamName> team,
        String payload,
        List<StepDefinition> steps,
        Optional<Recurrence> recurrence,
        long submittedEpochMilliseconds) {
    /** Copies the list, so that the workflow stays as it is. */
    public Workflow {
        steps = List.copyOf(steps);
    }

    /** Returns how many times the steps run. */
    public int occurrences() {
        return recurrence.map(Recurrence::occurrences).orElse(1);
    }
}
