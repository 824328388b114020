package org.marjoramnotch.model.workflow;

import java.util.List;
import java.util.Optional;
import org.marjoramnotch.model.identifier.WorkerId;

/**
 * A task in a snapshot.
 *
 * @param phase W for waiting, R for running, D for done
 * @param run the number of the last run; 0 before the first
 * @param failures how many runs failed
 * @param failedRun the number of the last run whose failure was counted; 0 for none
 * @param checkpoint the checkpoint that the next run may resume from; empty if there is none
 * @param worker the worker of the last run; empty before the first
 * @param endedUnseen whether the last run ended with its worker's incarnation, and the next one may
 *     have carried out its start; false in records of earlier releases
 * @param startedByNextLife whether the next incarnation has certainly carried out its start; false
 *     in records of earlier releases
 * @param unlistedRuns runs that were recorded as over although no list had shown their ends, oldest
 *     first; absent in records of earlier releases
 */
public record TaskRecord(
        char phase,
        long run,
        int failures,
        long failedRun,
        String checkpoint,
        Optional<WorkerId> worker,
        boolean endedUnseen,
        boolean startedByNextLife,
        List<UnlistedRun> unlistedRuns) {
    /** Replaces the absent list in a record of an earlier release. */
    public TaskRecord {
        unlistedRuns =
                unlistedRuns != null
                        ? List.copyOf(unlistedRuns)
                        : endedUnseen ? List.of(new UnlistedRun(run, 0)) : List.of();
    }
}
