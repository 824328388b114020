package org.marjoramnotch.logic.ledger;

import java.util.HashMap;
import java.util.Map;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.Invariant;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.identifier.TeamName;

/** Counts what each team has running in this cell, slots and tasks together. */
public final class TeamUsage {
    private final UpperLimits limits;
    private final Map<TeamName, Integer> running = new HashMap<>();
    private int total;

    /** Creates counts of zero under the limits. */
    public TeamUsage(UpperLimits limits) {
        this.limits = limits;
    }

    /** Returns how many attempts and tasks of the team run. */
    public int running(TeamName team) {
        return running.getOrDefault(team, 0);
    }

    /** Returns how many attempts and tasks run. */
    public int total() {
        return total;
    }

    /** Returns how many more the team may start; not negative. */
    public int remaining(TeamName team) {
        return Math.max(0, limits.limitInCell(team) - running(team));
    }

    /**
     * Counts further runs of a team.
     *
     * @throws MarjoramnotchException with {@code TEAM_AT_LIMIT} if the limit would be exceeded
     */
    public void add(TeamName team, int count) {
        if (count > remaining(team)) {
            throw new MarjoramnotchException(
                    ErrorCode.TEAM_AT_LIMIT,
                    "Team "
                            + team
                            + " already runs as much as its upper limit allows; retry later or ask"
                            + " an operator to raise the limit.");
        }
        running.merge(team, count, Integer::sum);
        total += count;
    }

    /** Counts runs of a restored snapshot, which may exceed a limit that was lowered since. */
    public void restore(TeamName team, int count) {
        running.merge(team, count, Integer::sum);
        total += count;
    }

    /** Uncounts runs of a team that ended. */
    public void remove(TeamName team, int count) {
        int left = running(team) - count;
        Invariant.check(left >= 0, "A team has less than nothing running");
        if (left == 0) {
            running.remove(team);
        } else {
            running.put(team, left);
        }
        total -= count;
    }
}
