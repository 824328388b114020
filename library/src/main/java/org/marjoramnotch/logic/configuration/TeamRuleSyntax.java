package org.marjoramnotch.logic.configuration;

import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.rule.TeamRule;

/** Team rules: {@code NAME share NUMBER limit NUMBER}. */
final class TeamRuleSyntax implements RuleSyntax<TeamRule> {
    private static final int SMALLEST_SHARE = 1;
    private static final int SMALLEST_LIMIT = 0;

    @Override
    public TeamRule read(RuleWords words) {
        TeamName team = words.name("team", TeamName::new);
        words.keyword("share");
        int share = words.number("share", SMALLEST_SHARE);
        words.keyword("limit");
        int upperLimit = words.number("limit", SMALLEST_LIMIT);
        return new TeamRule(team, share, upperLimit);
    }

    @Override
    public String write(TeamRule rule) {
        return rule.team() + " share " + rule.share() + " limit " + rule.upperLimit();
    }
}
