package org.marjoramnotch.logic.configuration;

import java.util.Collection;
import java.util.Optional;
import org.marjoramnotch.model.identifier.KeyId;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.rule.KeyRule;
import org.marjoramnotch.model.rule.QueueRule;
import org.marjoramnotch.model.rule.TeamRule;

/** Gives read access to the rules in force. */
public interface ConfigurationView {
    /** Returns the version, 0 before the first change. */
    long version();

    /** Returns the rule of a team. */
    Optional<TeamRule> team(TeamName team);

    /** Returns the rule of a key; empty if the key was never granted or has been withdrawn. */
    Optional<KeyRule> key(KeyId key);

    /** Returns the rule of a queue. */
    Optional<QueueRule> queue(QueueName queue);

    /** Returns the rules of all teams. */
    Collection<TeamRule> teams();
}
