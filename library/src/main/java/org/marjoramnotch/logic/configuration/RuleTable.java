package org.marjoramnotch.logic.configuration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.marjoramnotch.model.error.Invariant;
import org.marjoramnotch.model.identifier.KeyId;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.rule.KeyRule;
import org.marjoramnotch.model.rule.QueueRule;
import org.marjoramnotch.model.rule.Rule;
import org.marjoramnotch.model.rule.RuleKind;
import org.marjoramnotch.model.rule.RuleLine;
import org.marjoramnotch.model.rule.RuleSubject;
import org.marjoramnotch.model.rule.TeamRule;

/** Holds the rules by subject and counts the rules that refer to each team. */
final class RuleTable {
    private final SortedMap<RuleSubject, RuleLine> lines = new TreeMap<>();
    private final SortedMap<TeamName, TeamRule> teams = new TreeMap<>();
    private final Map<KeyId, KeyRule> keys = new HashMap<>();
    private final Map<QueueName, QueueRule> queues = new HashMap<>();
    private final Map<TeamName, Integer> referenceCounts = new HashMap<>();

    /**
     * Returns the problems that the rules would have after a change; checks only what the change
     * affects.
     */
    List<String> findProblems(RuleChange change) {
        List<String> problems = new ArrayList<>();
        for (Optional<RuleLine> line : change.lines().values()) {
            line.map(RuleLine::rule)
                    .filter(rule -> refersToMissingTeam(rule, change))
                    .ifPresent(rule -> problems.add(missingTeamMessage(rule)));
        }
        Map<TeamName, Integer> countChanges = referenceCountChanges(change);
        for (Map.Entry<RuleSubject, Optional<RuleLine>> entry : change.lines().entrySet()) {
            Optional<RuleLine> before = line(entry.getKey());
            if (entry.getValue().isEmpty()
                    && before.isPresent()
                    && before.get().rule() instanceof TeamRule team) {
                checkUnused(team.team(), countChanges, problems);
            }
        }
        return problems;
    }

    private boolean refersToMissingTeam(Rule rule, RuleChange change) {
        return RuleReferences.requiredTeam(rule)
                .filter(team -> !existsAfter(team, change))
                .isPresent();
    }

    private boolean existsAfter(TeamName team, RuleChange change) {
        RuleSubject subject = new RuleSubject(RuleKind.TEAM, team.value());
        Optional<RuleLine> changed = change.lines().get(subject);
        return changed == null ? teams.containsKey(team) : changed.isPresent();
    }

    private static String missingTeamMessage(Rule rule) {
        return RuleWordReader.lowerCase(rule.subject().kind())
                + " '"
                + rule.subject().name()
                + "': no rule creates team '"
                + RuleReferences.requiredTeam(rule).orElseThrow()
                + "'; add one or name another team.";
    }

    private Map<TeamName, Integer> referenceCountChanges(RuleChange change) {
        Map<TeamName, Integer> countChanges = new HashMap<>();
        change.lines()
                .forEach(
                        (subject, after) -> {
                            line(subject)
                                    .flatMap(line -> RuleReferences.requiredTeam(line.rule()))
                                    .ifPresent(team -> countChanges.merge(team, -1, Integer::sum));
                            after.flatMap(line -> RuleReferences.requiredTeam(line.rule()))
                                    .ifPresent(team -> countChanges.merge(team, 1, Integer::sum));
                        });
        return countChanges;
    }

    private void checkUnused(
            TeamName team, Map<TeamName, Integer> countChanges, List<String> problems) {
        int remaining = referenceCounts.getOrDefault(team, 0) + countChanges.getOrDefault(team, 0);
        if (remaining > 0) {
            problems.add(
                    "team '"
                            + team
                            + "': "
                            + remaining
                            + " keys or queues still name it; remove them in the same change.");
        }
    }

    /** Applies a change for which {@link #findProblems} has found none. */
    void apply(RuleChange change) {
        change.lines()
                .forEach(
                        (subject, line) -> {
                            remove(subject);
                            line.ifPresent(this::put);
                        });
    }

    private void remove(RuleSubject subject) {
        RuleLine line = lines.remove(subject);
        if (line == null) {
            return;
        }
        adjustReferenceCount(line.rule(), -1);
        if (line.rule() instanceof TeamRule team) {
            teams.remove(team.team());
        } else if (line.rule() instanceof KeyRule key) {
            keys.remove(key.key());
        } else if (line.rule() instanceof QueueRule queue) {
            queues.remove(queue.queue());
        }
    }

    private void put(RuleLine line) {
        lines.put(line.rule().subject(), line);
        adjustReferenceCount(line.rule(), 1);
        if (line.rule() instanceof TeamRule team) {
            teams.put(team.team(), team);
        } else if (line.rule() instanceof KeyRule key) {
            keys.put(key.key(), key);
        } else if (line.rule() instanceof QueueRule queue) {
            queues.put(queue.queue(), queue);
        }
    }

    private void adjustReferenceCount(Rule rule, int difference) {
        RuleReferences.requiredTeam(rule)
                .ifPresent(
                        team -> {
                            int count = referenceCounts.getOrDefault(team, 0) + difference;
                            Invariant.check(
                                    count >= 0, "The reference count of a team is negative");
                            referenceCounts.put(team, count);
                            referenceCounts.remove(team, 0);
                        });
    }

    Collection<RuleLine> lines() {
        return Collections.unmodifiableCollection(lines.values());
    }

    Optional<RuleLine> line(RuleSubject subject) {
        return Optional.ofNullable(lines.get(subject));
    }

    Optional<TeamRule> team(TeamName team) {
        return Optional.ofNullable(teams.get(team));
    }

    Optional<KeyRule> key(KeyId key) {
        return Optional.ofNullable(keys.get(key));
    }

    Optional<QueueRule> queue(QueueName queue) {
        return Optional.ofNullable(queues.get(queue));
    }

    Collection<TeamRule> teams() {
        return Collections.unmodifiableCollection(teams.values());
    }
}
