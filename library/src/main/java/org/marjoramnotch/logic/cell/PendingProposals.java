package org.marjoramnotch.logic.cell;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.marjoramnotch.logic.replication.ReplicationEffects.CommittedEntry;
import org.marjoramnotch.model.command.Command;

/** The commands that this replica proposed as leader and that are not applied yet. */
final class PendingProposals {
    private final Map<Long, PendingProposal> byIndex = new HashMap<>();
    private long lastIndex;
    private long lastTerm;
    private boolean refused;

    /** A command that was appended in a term. */
    private record PendingProposal(long term, Command command) {}

    /**
     * Records a proposal.
     *
     * @param index the index at which the log appended it; empty if the log refused it
     */
    void add(OptionalLong index, long term, Command command) {
        if (index.isEmpty()) {
            refused = true;
            return;
        }
        lastIndex = index.getAsLong();
        lastTerm = term;
        byIndex.put(lastIndex, new PendingProposal(term, command));
    }

    /**
     * Returns and removes the command of an entry if this replica proposed it, which avoids
     * decoding it.
     */
    Optional<Command> take(CommittedEntry entry) {
        return Optional.ofNullable(byIndex.remove(entry.index()))
                .filter(own -> own.term() == entry.term())
                .map(PendingProposal::command);
    }

    /**
     * Returns whether the log refused a proposal, whose sender would wait forever for its result.
     */
    boolean wasRefused() {
        return refused;
    }

    /** Returns whether a proposal of the term may still be applied. */
    boolean isInFlight(long term, long appliedIndex) {
        return lastTerm == term && appliedIndex < lastIndex;
    }

    /**
     * Removes the commands; {@link #isInFlight} still recognizes those in flight by their index.
     */
    void clear() {
        byIndex.clear();
        refused = false;
    }
}
