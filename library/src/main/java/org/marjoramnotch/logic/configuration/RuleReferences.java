package org.marjoramnotch.logic.configuration;

import java.util.Optional;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.rule.KeyRule;
import org.marjoramnotch.model.rule.QueueRule;
import org.marjoramnotch.model.rule.Rule;

/** Determines which team a rule refers to. */
final class RuleReferences {
    private RuleReferences() {}

    /** Returns the team that must exist for a rule to be valid. */
    static Optional<TeamName> requiredTeam(Rule rule) {
        if (rule instanceof KeyRule key) {
            return Optional.of(key.team());
        }
        if (rule instanceof QueueRule queue) {
            return queue.owner();
        }
        return Optional.empty();
    }
}
