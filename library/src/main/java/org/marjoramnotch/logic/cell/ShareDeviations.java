package org.marjoramnotch.logic.cell;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.ToIntFunction;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.rule.TeamRule;

/**
 * Measures how far each team is from its share.
 *
 * <p>What ran in a window is divided anew by weighted shares among the teams: a team that waited in
 * every sample could have used up to its upper limit, any other one just what it had. The distance
 * is the difference to what the team had, as a part of all that ran.
 */
final class ShareDeviations {
    static final int WINDOW_SAMPLES = 10;
    static final int MAXIMUM_WINDOWS = 6;

    private final Map<TeamName, Integer> ran = new HashMap<>();
    private final Map<TeamName, Integer> waited = new HashMap<>();
    private final Deque<Map<TeamName, Double>> windows = new ArrayDeque<>();
    private int samples;

    /** Takes one sample; the last one of a window closes it. */
    void sample(
            Collection<TeamRule> rules, ToIntFunction<TeamName> running, Set<TeamName> waiting) {
        for (TeamRule rule : rules) {
            ran.merge(rule.team(), running.applyAsInt(rule.team()), Integer::sum);
            if (waiting.contains(rule.team())) {
                waited.merge(rule.team(), 1, Integer::sum);
            }
        }
        samples++;
        if (samples == WINDOW_SAMPLES) {
            closeWindow(rules);
        }
    }

    /** Returns the largest distance of the team in the windows kept. */
    double largest(TeamName team) {
        return windows.stream()
                .mapToDouble(window -> window.getOrDefault(team, 0.0))
                .max()
                .orElse(0);
    }

    private void closeWindow(Collection<TeamRule> rules) {
        windows.addLast(deviations(rules));
        if (windows.size() > MAXIMUM_WINDOWS) {
            windows.removeFirst();
        }
        ran.clear();
        waited.clear();
        samples = 0;
    }

    private Map<TeamName, Double> deviations(Collection<TeamRule> rules) {
        double total = ran.values().stream().mapToInt(Integer::intValue).sum();
        Map<TeamName, Double> distances = new HashMap<>();
        if (total > 0) {
            fairShares(rules, total)
                    .forEach(
                            (team, part) ->
                                    distances.put(team, Math.abs(part - ran.get(team)) / total));
        }
        return distances;
    }

    /** Divides by weighted max-min fairness: what a team cannot use goes to the others. */
    private Map<TeamName, Double> fairShares(Collection<TeamRule> rules, double total) {
        Map<TeamName, Double> entitled = new HashMap<>();
        Map<TeamName, TeamRule> unsatisfied = new HashMap<>();
        rules.forEach(rule -> unsatisfied.put(rule.team(), rule));
        double left = total;
        boolean changed = true;
        while (changed && !unsatisfied.isEmpty()) {
            double shares = unsatisfied.values().stream().mapToInt(TeamRule::share).sum();
            double level = left / shares;
            changed = false;
            for (TeamRule rule : rules) {
                boolean satisfied = maximumUse(rule) <= level * rule.share();
                if (satisfied && unsatisfied.remove(rule.team()) != null) {
                    entitled.put(rule.team(), maximumUse(rule));
                    left -= maximumUse(rule);
                    changed = true;
                }
            }
        }
        double shares = unsatisfied.values().stream().mapToInt(TeamRule::share).sum();
        for (TeamRule rule : unsatisfied.values()) {
            entitled.put(rule.team(), left * rule.share() / shares);
        }
        return entitled;
    }

    /** Returns the most that the team could have had in the window. */
    private double maximumUse(TeamRule rule) {
        int had = ran.get(rule.team());
        boolean wantedMore = waited.getOrDefault(rule.team(), 0) == WINDOW_SAMPLES;
        return wantedMore ? Math.max(had, (double) rule.upperLimit() * WINDOW_SAMPLES) : had;
    }
}
