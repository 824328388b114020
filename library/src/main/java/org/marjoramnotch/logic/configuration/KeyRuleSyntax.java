package org.marjoramnotch.logic.configuration;

import java.util.regex.Pattern;
import org.marjoramnotch.model.identifier.KeyId;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.rule.KeyRule;

/** Key rules: {@code NAME team NAME sha256 HEXADECIMAL}. */
final class KeyRuleSyntax implements RuleSyntax<KeyRule> {
    private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");

    @Override
    public KeyRule read(RuleWords words) {
        KeyId key = words.name("key", KeyId::new);
        words.keyword("team");
        TeamName team = words.name("team", TeamName::new);
        words.keyword("sha256");
        String hash =
                words.matching(
                        SHA256,
                        "the SHA-256 of the key's secret as 64 lower-case hexadecimal digits");
        return new KeyRule(key, team, hash);
    }

    @Override
    public String write(KeyRule rule) {
        return rule.key() + " team " + rule.team() + " sha256 " + rule.secretSha256();
    }
}
