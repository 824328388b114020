package org.marjoramnotch.logic.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.codec.digest.DigestUtils;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.marjoramnotch.model.identifier.KeyId;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.rule.KeyRule;
import org.marjoramnotch.model.rule.QueueAccess;
import org.marjoramnotch.model.rule.QueuePolicy;
import org.marjoramnotch.model.rule.QueueRule;
import org.marjoramnotch.model.rule.Repetition;
import org.marjoramnotch.model.rule.Rule;
import org.marjoramnotch.model.rule.RuleLine;
import org.marjoramnotch.model.rule.TeamRule;

/** Generates random valid lists of rules from a seed. */
final class RandomRuleGenerator {
    private static final int MAXIMUM_RULES_PER_KIND = 6;

    private final UniformRandomProvider random;

    RandomRuleGenerator(long seed) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    /**
     * Returns a valid list of rules. Names recur between lists, so that consecutive lists overlap.
     */
    List<RuleLine> nextRules() {
        List<RuleLine> lines = new ArrayList<>();
        List<TeamName> teams = new ArrayList<>();
        for (int number = 0; number <= random.nextInt(MAXIMUM_RULES_PER_KIND); number++) {
            TeamName team = new TeamName("team-" + number);
            teams.add(team);
            lines.add(line(new TeamRule(team, 1 + random.nextInt(3), random.nextInt(3))));
        }
        for (int number = 0; number < random.nextInt(MAXIMUM_RULES_PER_KIND); number++) {
            String hash = DigestUtils.sha256Hex("secret" + random.nextInt(3));
            lines.add(line(new KeyRule(new KeyId("key-" + number), pick(teams), hash)));
        }
        for (int number = 0; number < random.nextInt(MAXIMUM_RULES_PER_KIND); number++) {
            lines.add(line(queue(new QueueName("queue-" + number), teams)));
        }
        return lines;
    }

    private QueueRule queue(QueueName name, List<TeamName> teams) {
        QueueAccess access = pick(List.of(QueueAccess.values()));
        QueuePolicy policy = pick(List.of(QueuePolicy.values()));
        boolean callsEndpoints = policy == QueuePolicy.QUICK || policy == QueuePolicy.FEED;
        return new QueueRule(
                name,
                access,
                access == QueueAccess.KEYED ? Optional.empty() : Optional.of(pick(teams)),
                policy,
                callsEndpoints ? Optional.of(new ServiceName("service")) : Optional.empty(),
                pick(List.of(Repetition.values())));
    }

    private RuleLine line(Rule rule) {
        return new RuleLine(rule, pick(List.of("Aiko", "ward # 3, 福岡", "owners; 2026-11-30")));
    }

    private <T> T pick(List<T> values) {
        return values.get(random.nextInt(values.size()));
    }
}
