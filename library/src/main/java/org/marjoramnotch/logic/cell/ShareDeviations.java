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
 * Measures how far each team deviates from its fair share.
 *
 * <p>The work that ran in a window is divided again among the teams by their weighted shares: a
 * team that had waiting work in every sample could have used up to its upper limit, any other team
 * only what it used. The deviation is the difference between this fair share and what the team
 * used, as a fraction of all work that ran.
 */
final class ShareDeviations {
    static final int WINDOW_SAMPLES = 10;
    static final int MAXIMUM_WINDOWS = 6;

    private final Map<TeamName, Integer> ran = new HashMap<>();
    private final Map<TeamName, Integer> waited = new HashMap<>();
    private final Deque<Map<TeamName, Double>> windows = new ArrayDeque<>();
    private int samples;

    /** Records one sample; the last sample of a window closes the window. */
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

    /** Returns the largest deviation of the team in the retained windows. */
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
        Map<TeamName, Double> deviations = new HashMap<>();
        if (total > 0) {
            fairShares(rules, total)
                    .forEach(
                            (team, share) ->
                                    deviations.put(team, Math.abs(share - ran.get(team)) / total));
        }
        return deviations;
    }

    /** Divides the work by weighted max-min fairness: what a team cannot use goes to the others. */
    private Map<TeamName, Double> fairShares(Collection<TeamRule> rules, double total) {
        Map<TeamName, Double> fairShares = new HashMap<>();
        Map<TeamName, TeamRule> unsatisfied = new HashMap<>();
        rules.forEach(rule -> unsatisfied.put(rule.team(), rule));
        double remaining = total;
        boolean changed = true;
        while (changed && !unsatisfied.isEmpty()) {
            double totalShares = unsatisfied.values().stream().mapToInt(TeamRule::share).sum();
            double level = remaining / totalShares;
            changed = false;
            for (TeamRule rule : rules) {
                boolean satisfied = maximumUse(rule) <= level * rule.share();
                if (satisfied && unsatisfied.remove(rule.team()) != null) {
                    fairShares.put(rule.team(), maximumUse(rule));
                    remaining -= maximumUse(rule);
                    changed = true;
                }
            }
        }
        double totalShares = unsatisfied.values().stream().mapToInt(TeamRule::share).sum();
        for (TeamRule rule : unsatisfied.values()) {
            fairShares.put(rule.team(), remaining * rule.share() / totalShares);
        }
        return fairShares;
    }

    /** Returns the most that the team could have used in the window. */
    private double maximumUse(TeamRule rule) {
        int used = ran.get(rule.team());
        boolean alwaysWaited = waited.getOrDefault(rule.team(), 0) == WINDOW_SAMPLES;
        return alwaysWaited ? Math.max(used, (double) rule.upperLimit() * WINDOW_SAMPLES) : used;
    }
}
