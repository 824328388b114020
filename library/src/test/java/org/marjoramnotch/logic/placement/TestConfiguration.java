package org.marjoramnotch.logic.placement;

import java.util.Collection;
import java.util.Optional;
import java.util.TreeMap;
import org.marjoramnotch.logic.configuration.ConfigurationView;
import org.marjoramnotch.model.endpoint.SlotKind;
import org.marjoramnotch.model.identifier.KeyId;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.message.Credential;
import org.marjoramnotch.model.rule.KeyRule;
import org.marjoramnotch.model.rule.QueueAccess;
import org.marjoramnotch.model.rule.QueuePolicy;
import org.marjoramnotch.model.rule.QueueRule;
import org.marjoramnotch.model.rule.Repetition;
import org.marjoramnotch.model.rule.TeamRule;

/**
 * Rules that tests can change directly: queues of one service that require a key, and one key per
 * team.
 */
final class TestConfiguration implements ConfigurationView {
    static final ServiceName SERVICE = new ServiceName("gas-check");
    static final QueueName ONCE = new QueueName("checks");
    static final QueueName IDEMPOTENT = new QueueName("permits");
    static final QueueName FEED = new QueueName("notices");

    private static final String SECRET = "0".repeat(64);

    private final TreeMap<TeamName, TeamRule> teams = new TreeMap<>();
    private final TreeMap<KeyId, KeyRule> keys = new TreeMap<>();
    private final TreeMap<QueueName, QueueRule> queues = new TreeMap<>();
    private long version;

    TestConfiguration() {
        queue(ONCE, QueuePolicy.QUICK, Repetition.ONCE);
        queue(IDEMPOTENT, QueuePolicy.QUICK, Repetition.IDEMPOTENT);
        queue(FEED, QueuePolicy.FEED, Repetition.IDEMPOTENT);
    }

    static QueueName queue(SlotKind kind) {
        return kind == SlotKind.FEED ? FEED : ONCE;
    }

    private void queue(QueueName name, QueuePolicy policy, Repetition repetition) {
        queues.put(
                name,
                new QueueRule(
                        name,
                        QueueAccess.KEYED,
                        Optional.empty(),
                        policy,
                        Optional.of(SERVICE),
                        repetition));
    }

    TestConfiguration team(String name, int share, int limit) {
        version++;
        TeamName team = new TeamName(name);
        teams.put(team, new TeamRule(team, share, limit));
        keys.put(new KeyId(name), new KeyRule(new KeyId(name), team, SECRET));
        return this;
    }

    void withdrawKey(String name) {
        version++;
        keys.remove(new KeyId(name));
    }

    static Credential credential(String team) {
        return new Credential(new KeyId(team), SECRET);
    }

    int limit(TeamName team) {
        return team(team).map(TeamRule::upperLimit).orElse(0);
    }

    @Override
    public long version() {
        return version;
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
