package org.marjoramnotch.model.rule;

import org.marjoramnotch.model.identifier.TeamName;

/**
 * Creates a team.
 *
 * @param team the name of the team
 * @param share weight of the team when capacity is scarce, at least 1
 * @param upperLimit maximum number of attempts and tasks of the team that run at once in the whole
 *     fleet
 */
public record TeamRule(TeamName team, int share, int upperLimit) implements Rule {
    @Override
    public RuleSubject subject() {
        return new RuleSubject(RuleKind.TEAM, team.value());
    }
}
