package org.marjoramnotch.logic.workflow;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.model.command.ForgetWorkflows;
import org.marjoramnotch.model.identifier.JobId;

/**
 * Removes ended workflows from the ledger after a retention time in which callers can read their
 * state.
 */
final class EndedWorkflowCleaner {
    /** Bounds the size of a command. */
    private static final int MAXIMUM_BATCH_SIZE = 200;

    private final WorkflowLedger ledger;
    private final long retentionMilliseconds;
    private final Map<JobId, Long> endedSince = new LinkedHashMap<>();

    EndedWorkflowCleaner(WorkflowLedger ledger, long retentionMilliseconds) {
        this.ledger = ledger;
        this.retentionMilliseconds = retentionMilliseconds;
    }

    /** Records newly ended workflows and proposes to remove those whose retention time is over. */
    void tick(long nowMilliseconds, LeaderOutput output) {
        for (WorkflowEntry entry : ledger.workflows()) {
            if (entry.state().isFinal()) {
                endedSince.putIfAbsent(entry.id(), nowMilliseconds);
            }
        }
        List<JobId> expired =
                endedSince.entrySet().stream()
                        .filter(
                                ended ->
                                        nowMilliseconds - ended.getValue() >= retentionMilliseconds)
                        .map(Map.Entry::getKey)
                        .limit(MAXIMUM_BATCH_SIZE)
                        .toList();
        if (!expired.isEmpty()) {
            output.propose(new ForgetWorkflows(expired));
            expired.forEach(endedSince::remove);
        }
    }

    /**
     * Returns after how many milliseconds ended workflows of the given size will have been removed.
     * If there are not as many, this is the time after which one that ends now is removed.
     */
    long millisecondsUntilRemoved(long nowMilliseconds, long bytes) {
        long removed = 0;
        for (Map.Entry<JobId, Long> ended : endedSince.entrySet()) {
            removed += ledger.workflow(ended.getKey()).map(WorkflowEntry::countedBytes).orElse(0L);
            if (removed >= bytes) {
                return Math.max(0, ended.getValue() + retentionMilliseconds - nowMilliseconds);
            }
        }
        return retentionMilliseconds;
    }
}
