package org.marjoramnotch.logic.configuration;

import java.util.regex.Pattern;
import org.marjoramnotch.model.identifier.KeyId;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.rule.KeyRule;

/** Syntax of key rules: {@code NAME team NAME sha256 HEXADECIMAL}. */
final class KeyRuleSyntax implements RuleSyntax<KeyRule> {
    private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");

    @Override
    public KeyRule read(RuleWordReader words) {
        KeyId key = words.readName("key", KeyId::new);
        words.expectKeyword("team");
        TeamName team = words.readName("team", TeamName::new);
        words.expectKeyword("sha256");
        String hash =
                words.readMatching(
                        SHA256,
                        "the SHA-256 of the key's secret as 64 lower-case hexadecimal digits");
        return new KeyRule(key, team, hash);
    }

    @Override
    public String write(KeyRule rule) {
        return rule.key() + " team " + rule.team() + " sha256 " + rule.secretSha256();
    }
}
