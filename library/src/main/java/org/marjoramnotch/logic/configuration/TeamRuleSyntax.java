package org.marjoramnotch.logic.configuration;

import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.rule.TeamRule;

/** Syntax of team rules: {@code NAME share NUMBER limit NUMBER}. */
final class TeamRuleSyntax implements RuleSyntax<TeamRule> {
    private static final int MINIMUM_SHARE = 1;
    private static final int MINIMUM_LIMIT = 0;

    @Override
    public TeamRule read(RuleWordReader words) {
        TeamName team = words.readName("team", TeamName::new);
        words.expectKeyword("share");
        int share = words.readNumber("share", MINIMUM_SHARE);
        words.expectKeyword("limit");
        int upperLimit = words.readNumber("limit", MINIMUM_LIMIT);
        return new TeamRule(team, share, upperLimit);
    }

    @Override
    public String write(TeamRule rule) {
        return rule.team() + " share " + rule.share() + " limit " + rule.upperLimit();
    }
}
