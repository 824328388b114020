package org.marjoramnotch.model.rule;

import org.marjoramnotch.model.identifier.TeamName;

/**
 * Creates a team.
 *
 * @param team the team
 * @param share weight of the team when all is full, from 1
 * @param upperLimit most attempts and tasks of the team that run at once in the whole fleet
 */
public record TeamRule(TeamName team, int share, int upperLimit) implements Rule {
    @Override
    public RuleSubject subject() {
        return new RuleSubject(RuleKind.TEAM, team.value());
    }
}
