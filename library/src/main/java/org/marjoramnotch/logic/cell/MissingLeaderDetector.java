package org.marjoramnotch.logic.cell;

import java.util.Optional;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.logic.replication.ReplicationStatus;

/** Detects that a replica has long known no leader, or not even a group. */
public final class MissingLeaderDetector {
    static final long ENTRY_INTERVAL_MILLISECONDS = 5_000;

    private boolean missing;
    private long sinceMilliseconds;
    private long nextEntryAt;

    /** Returns a log entry in intervals as long as the leader is missing. */
    public Optional<DecisionLogEntry> detect(long nowMilliseconds, ReplicationStatus status) {
        if (status.leading() || status.leader().isPresent()) {
            missing = false;
            return Optional.empty();
        }
        if (!missing) {
            missing = true;
            sinceMilliseconds = nowMilliseconds;
            nextEntryAt = nowMilliseconds + ENTRY_INTERVAL_MILLISECONDS;
        }
        if (nowMilliseconds < nextEntryAt) {
            return Optional.empty();
        }
        nextEntryAt = nowMilliseconds + ENTRY_INTERVAL_MILLISECONDS;
        return Optional.of(
                DecisionLogEntry.of(
                        status.voters().isEmpty() ? "group_awaited" : "leader_awaited",
                        "replica",
                        status.self(),
                        "waited_ms",
                        nowMilliseconds - sinceMilliseconds,
                        "term",
                        status.term(),
                        "commit_index",
                        status.commitIndex(),
                        "voters",
                        status.voters(),
                        "learners",
                        status.learners()));
    }
}
