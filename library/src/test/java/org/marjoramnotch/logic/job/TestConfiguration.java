package org.marjoramnotch.logic.job;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.marjoramnotch.logic.configuration.ConfigurationView;
import org.marjoramnotch.logic.ledger.TeamUsage;
import org.marjoramnotch.model.identifier.KeyId;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.message.Credential;
import org.marjoramnotch.model.rule.KeyRule;
import org.marjoramnotch.model.rule.QueueAccess;
import org.marjoramnotch.model.rule.QueuePolicy;
import org.marjoramnotch.model.rule.QueueRule;
import org.marjoramnotch.model.rule.Repetition;
import org.marjoramnotch.model.rule.TeamRule;

/** Rules for tests: each team has one key, and there is a keyed queue per policy and repetition. */
final class TestConfiguration implements ConfigurationView {
    private static final String SECRET = "0".repeat(64);

    final Map<TeamName, TeamRule> teams = new LinkedHashMap<>();
    final Map<KeyId, KeyRule> keys = new LinkedHashMap<>();
    private final Map<QueueName, QueueRule> queues = new LinkedHashMap<>();

    TestConfiguration() {
        for (QueuePolicy policy : QueuePolicy.values()) {
            for (Repetition repetition : Repetition.values()) {
                QueueName name = queueName(policy, repetition);
                QueueRule rule =
                        new QueueRule(
                                name,
                                QueueAccess.KEYED,
                                Optional.empty(),
                                policy,
                                Optional.empty(),
                                repetition);
                queues.put(name, rule);
            }
        }
    }

    static QueueName queueName(QueuePolicy policy, Repetition repetition) {
        return new QueueName(policy + "-" + repetition);
    }

    static KeyId key(TeamName team) {
        return new KeyId("key-" + team);
    }

    static Credential credential(TeamName team) {
        return new Credential(key(team), SECRET);
    }

    TestConfiguration with(String team, int share, int upperLimit) {
        TeamName name = new TeamName(team);
        teams.put(name, new TeamRule(name, share, upperLimit));
        keys.put(key(name), new KeyRule(key(name), name, SECRET));
        return this;
    }

    TeamUsage usage() {
        return new TeamUsage(team -> team(team).map(TeamRule::upperLimit).orElse(0));
    }

    @Override
    public long version() {
        return 1;
    }

    @Override
    public Optional<TeamRule> team(TeamName team) {
        return Optional.ofNullable(teams.get(team));
    }

    @Override
    public Optional<KeyRule> key(KeyId key) {
        return Optional.ofNullable(keys.get(key));
    }

    @Override
    public Optional<QueueRule> queue(QueueName queue) {
        return Optional.ofNullable(queues.get(queue));
    }

    @Override
    public Collection<TeamRule> teams() {
        return teams.values();
    }
}
