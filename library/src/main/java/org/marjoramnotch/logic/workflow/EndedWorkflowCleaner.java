package org.marjoramnotch.logic.workflow;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.model.command.ForgetWorkflows;
import org.marjoramnotch.model.identifier.JobId;

/** Forgets ended workflows after callers had time to ask for them. */
final class EndedWorkflowCleaner {
    /** Keeps one command short. */
    private static final int MAXIMUM_BATCH_SIZE = 200;

    private final WorkflowLedger ledger;
    private final long retentionMilliseconds;
    private final Map<JobId, Long> endedSince = new LinkedHashMap<>();

    EndedWorkflowCleaner(WorkflowLedger ledger, long retentionMilliseconds) {
        this.ledger = ledger;
        this.retentionMilliseconds = retentionMilliseconds;
    }

    /** Notes what has ended and proposes to forget what ended long ago. */
    void tick(long nowMilliseconds, LeaderOutput output) {
        for (WorkflowEntry entry : ledger.workflows()) {
            if (entry.state().isFinal()) {
                endedSince.putIfAbsent(entry.id(), nowMilliseconds);
            }
        }
        List<JobId> over =
                endedSince.entrySet().stream()
                        .filter(
                                ended ->
                                        nowMilliseconds - ended.getValue() >= retentionMilliseconds)
                        .map(Map.Entry::getKey)
                        .limit(MAXIMUM_BATCH_SIZE)
                        .toList();
        if (!over.isEmpty()) {
            output.propose(new ForgetWorkflows(over));
            over.forEach(endedSince::remove);
        }
    }
}
