package org.marjoramnotch.logic.budget;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.marjoramnotch.model.identifier.TeamName;

/** Counts the bytes that all workflows take, and those of each team. */
public final class HeldState {
    private final Map<TeamName, Long> bytesByTeam = new HashMap<>();
    private long totalBytes;

    /** Adds a change, which may be negative. */
    public void change(Optional<TeamName> team, long bytes) {
        totalBytes += bytes;
        team.ifPresent(
                name ->
                        bytesByTeam.compute(
                                name,
                                (key, before) -> {
                                    long after = (before == null ? 0 : before) + bytes;
                                    return after == 0 ? null : after;
                                }));
    }

    /** Returns the bytes of all workflows. */
    public long totalBytes() {
        return totalBytes;
    }

    /** Returns the bytes of the workflows of a team. */
    public long bytesOf(TeamName team) {
        return bytesByTeam.getOrDefault(team, 0L);
    }
}
