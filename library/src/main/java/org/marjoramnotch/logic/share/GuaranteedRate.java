package org.marjoramnotch.logic.share;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.marjoramnotch.model.identifier.TeamName;

/**
 * Measures how many submissions each team sends and tells which are inside its guaranteed part,
 * {@code weight} a second over 5 s. Addresses a team that sends several times its usual amount:
 * what it sends beyond its guaranteed part may be delayed or refused first when capacity is short.
 * Submissions without a team count as those of one team.
 */
public final class GuaranteedRate {
    /** The period over which the specification measures the rate of a team. */
    static final long WINDOW_MILLISECONDS = 5_000;

    private static final long MILLISECONDS_PER_SECOND = 1_000;

    /** A submission counts for up to this much less than the window. */
    private static final long SLICE_MILLISECONDS = 100;

    private static final int SLICES = (int) (WINDOW_MILLISECONDS / SLICE_MILLISECONDS);

    /** Counts of submissions in the slices of the latest window. */
    private static final class Counts {
        private final long[] all = new long[SLICES];
        private final long[] guaranteed = new long[SLICES];
        private long lastSlice;

        void advance(long slice) {
            long cleared = Math.min(SLICES, slice - lastSlice);
            for (long passed = 1; passed <= cleared; passed++) {
                int index = index(lastSlice + passed);
                all[index] = 0;
                guaranteed[index] = 0;
            }
            if (cleared > 0) {
                lastSlice = slice;
            }
        }

        boolean count(boolean inside) {
            int index = index(lastSlice);
            all[index]++;
            guaranteed[index] += inside ? 1 : 0;
            return inside;
        }

        private static int index(long slice) {
            return (int) Math.floorMod(slice, (long) SLICES);
        }
    }

    private final Map<Optional<TeamName>, Counts> countsByTeam = new HashMap<>();
    private long nextCleaningAt;

    /**
     * Counts a submission and returns whether it is inside the guaranteed part of its team.
     *
     * @param weight the weight of the team; weights below 1 count as 1
     */
    public boolean count(long nowMilliseconds, Optional<TeamName> team, long weight) {
        forgetIdleTeams(nowMilliseconds);
        Counts counts = countsByTeam.computeIfAbsent(team, name -> new Counts());
        counts.advance(nowMilliseconds / SLICE_MILLISECONDS);
        long guaranteed = Arrays.stream(counts.guaranteed).sum();
        long seconds = WINDOW_MILLISECONDS / MILLISECONDS_PER_SECOND;
        return counts.count(guaranteed / seconds < Math.max(1, weight));
    }

    /** Returns how many submissions a team sent a second, inside its guaranteed part or not. */
    public double perSecond(long nowMilliseconds, Optional<TeamName> team) {
        Counts counts = countsByTeam.get(team);
        if (counts == null) {
            return 0;
        }
        counts.advance(nowMilliseconds / SLICE_MILLISECONDS);
        return (double) Arrays.stream(counts.all).sum()
                * MILLISECONDS_PER_SECOND
                / WINDOW_MILLISECONDS;
    }

    private void forgetIdleTeams(long nowMilliseconds) {
        if (nowMilliseconds < nextCleaningAt) {
            return;
        }
        nextCleaningAt = nowMilliseconds + WINDOW_MILLISECONDS;
        long slice = nowMilliseconds / SLICE_MILLISECONDS;
        countsByTeam.values().removeIf(counts -> slice - counts.lastSlice >= SLICES);
    }
}
