package org.marjoramnotch.logic.ledger;

import java.util.HashMap;
import java.util.Map;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.Invariant;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.identifier.TeamName;

/** Counts the running attempts and tasks of each team in this cell. */
public final class TeamUsage {
    private final UpperLimits limits;
    private final Map<TeamName, Integer> running = new HashMap<>();
    private int total;

    /** Creates an empty count with the given limits. */
    public TeamUsage(UpperLimits limits) {
        this.limits = limits;
    }

    /** Returns the number of running attempts and tasks of the team. */
    public int running(TeamName team) {
        return running.getOrDefault(team, 0);
    }

    /** Returns the number of running attempts and tasks of all teams. */
    public int total() {
        return total;
    }

    /** Returns how many more attempts and tasks the team may start; never negative. */
    public int remaining(TeamName team) {
        return Math.max(0, limits.limitInCell(team) - running(team));
    }

    /**
     * Adds started attempts or tasks of a team.
     *
     * @throws MarjoramnotchException with {@code TEAM_AT_LIMIT} if the limit would be exceeded
     */
    public void add(TeamName team, int count) {
        if (count > remaining(team)) {
            throw new MarjoramnotchException(
                    ErrorCode.TEAM_AT_LIMIT,
                    "Team "
                            + team
                            + " has reached its upper limit of running work; retry later or ask"
                            + " an operator to raise the limit.");
        }
        running.merge(team, count, Integer::sum);
        total += count;
    }

    /**
     * Adds attempts or tasks from a restored snapshot. They may exceed a limit that has been
     * lowered since they started.
     */
    public void restore(TeamName team, int count) {
        running.merge(team, count, Integer::sum);
        total += count;
    }

    /** Removes ended attempts or tasks of a team. */
    public void remove(TeamName team, int count) {
        int left = running(team) - count;
        Invariant.check(left >= 0, "A team's count of running work is negative");
        if (left == 0) {
            running.remove(team);
        } else {
            running.put(team, left);
        }
        total -= count;
    }
}
