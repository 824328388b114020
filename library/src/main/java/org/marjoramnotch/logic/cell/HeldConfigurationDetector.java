package org.marjoramnotch.logic.cell;

import java.util.Optional;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.logic.leader.DecisionLogEntry;

/** Detects which versions a replica holds after its start, a snapshot or a change. */
public final class HeldConfigurationDetector {
    /** Why a replica holds other versions than before. */
    public enum Cause {
        /** The process started. */
        START,
        /** The replica started again from its disk, which had refused writes. */
        DISK_OUTAGE,
        /** A snapshot replaced the applied state. */
        SNAPSHOT,
        /** A change in the log was applied. */
        LOG
    }

    private final Cause startCause;
    private @Nullable AppliedState last;

    /** Creates a detector for a core that started for a given reason. */
    public HeldConfigurationDetector(Cause startCause) {
        this.startCause = startCause;
    }

    /** Returns why the versions are others than at the last call, if they are. */
    public Optional<Cause> detectChange(AppliedState current) {
        AppliedState previous = last;
        last = current;
        if (previous == null) {
            return Optional.of(startCause);
        }
        if (current.restoredIndex() != previous.restoredIndex()) {
            return Optional.of(Cause.SNAPSHOT);
        }
        return current.hasVersionsOf(previous) ? Optional.empty() : Optional.of(Cause.LOG);
    }

    /** Returns the log entry of a change. */
    public static DecisionLogEntry entryOf(
            Cause cause, AppliedState state, long term, long epochMilliseconds) {
        return DecisionLogEntry.of(
                "configuration_held",
                "cause",
                cause,
                "version",
                orElse(state.configurationVersion(), "none"),
                "rules_version",
                state.rulesVersion(),
                "age_ms",
                orElse(state.configurationAgeMilliseconds(epochMilliseconds), "unknown"),
                "term",
                term,
                "index",
                state.index(),
                "restored_index",
                state.restoredIndex());
    }

    private static Object orElse(OptionalLong value, String other) {
        return value.isPresent() ? value.getAsLong() : other;
    }
}
