package org.marjoramnotch.logic.replication;

import java.util.List;
import java.util.Optional;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.replication.EntryKind;
import org.marjoramnotch.model.replication.LogEntry;
import org.marjoramnotch.model.replication.Membership;

/** The first log entry of a group that several replicas found together. */
public final class FoundingEntry {
    static final long TERM = 1;

    private static final long INDEX = 1;

    private FoundingEntry() {}

    /**
     * Returns what a founder stores together with its identity. A founder that is started again
     * then takes part in the group, whatever its settings say by then.
     */
    public static List<StorageWrite> writes(List<ReplicaId> founders) {
        Membership membership = Membership.foundedBy(founders);
        return List.of(
                new StorageWrite.SaveHardState(
                        new HardState(TERM, Optional.empty(), Optional.of(membership.group()))),
                new StorageWrite.AppendLog(List.of(of(membership))));
    }

    static LogEntry of(Membership membership) {
        return LogEntry.membership(INDEX, TERM, membership);
    }

    /** Returns whether an entry is the first of a group that several replicas found together. */
    static boolean isFounding(LogEntry entry) {
        return entry.index() == INDEX
                && entry.term() == TERM
                && entry.kind() == EntryKind.MEMBERSHIP;
    }
}
