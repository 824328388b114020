package org.marjoramnotch.model.rule;

import org.marjoramnotch.model.identifier.KeyId;
import org.marjoramnotch.model.identifier.TeamName;

/**
 * Grants a key to a team. A key without a rule is withdrawn.
 *
 * @param key the public name of the key
 * @param team the team that work sent with this key is counted for
 * @param secretSha256 SHA-256 of the key's secret part, 64 lower-case hexadecimal digits
 */
public record KeyRule(KeyId key, TeamName team, String secretSha256) implements Rule {
    @Override
    public RuleSubject subject() {
        return new RuleSubject(RuleKind.KEY, key.value());
    }
}
