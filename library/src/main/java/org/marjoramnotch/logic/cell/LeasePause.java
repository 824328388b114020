package org.marjoramnotch.logic.cell;

import java.util.Optional;
import java.util.OptionalLong;
import org.marjoramnotch.logic.leader.DecisionLogEntry;

/** The pause of a leader's duties while its lease has lapsed. */
final class LeasePause {
    /**
     * The default of the longest election timeout, after which a leader without a quorum steps
     * down. A longer pause has another cause, such as too few voters, and callers should not wait
     * for its end.
     */
    private static final long LONGEST_PAUSE_MILLISECONDS = 2_000;

    private OptionalLong begunAt = OptionalLong.empty();

    boolean isActive() {
        return begunAt.isPresent();
    }

    /** Returns whether the pause lasts so long that the duties should end. */
    boolean isTooLong(long nowMilliseconds) {
        return isActive() && duration(nowMilliseconds) >= LONGEST_PAUSE_MILLISECONDS;
    }

    /** Begins a pause. */
    DecisionLogEntry begin(long nowMilliseconds, long term) {
        begunAt = OptionalLong.of(nowMilliseconds);
        return DecisionLogEntry.of("leader_lease_lapsed", "term", term);
    }

    /** Ends the pause, if there is one. */
    Optional<DecisionLogEntry> end(long nowMilliseconds) {
        if (!isActive()) {
            return Optional.empty();
        }
        DecisionLogEntry regained =
                DecisionLogEntry.of(
                        "leader_lease_regained", "paused_ms", duration(nowMilliseconds));
        begunAt = OptionalLong.empty();
        return Optional.of(regained);
    }

    private long duration(long nowMilliseconds) {
        return nowMilliseconds - begunAt.getAsLong();
    }
}
