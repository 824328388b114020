package org.marjoramnotch.model.workflow;

import java.util.List;
import java.util.Optional;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.TeamName;

/**
 * A job consisting of a graph of steps.
 *
 * @param id the name chosen by the caller
 * @param queue the queue that it was submitted to
 * @param team the team whose limit it counts against; empty if it was submitted to an open queue
 *     without a key
 * @param payload data passed to each task
 * @param steps the steps; each depends only on steps before it
 * @param recurrence when the steps run; empty to run them once and immediately
 * @param submittedEpochMilliseconds when it was accepted, in Unix time
 */
public record Workflow(
        JobId id,
        QueueName queue,
        Optional<TeamName> team,
        String payload,
        List<StepDefinition> steps,
        Optional<Recurrence> recurrence,
        long submittedEpochMilliseconds) {
    /** Creates an immutable workflow by copying the list. */
    public Workflow {
        steps = List.copyOf(steps);
    }

    /** Returns how many times the steps run. */
    public int occurrences() {
        return recurrence.map(Recurrence::occurrences).orElse(1);
    }
}
