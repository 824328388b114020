package org.marjoramnotch.logic.configuration;

import java.util.Optional;
import org.marjoramnotch.model.identifier.KeyId;
import org.marjoramnotch.model.rule.QueueRule;
import org.marjoramnotch.model.rule.TeamRule;

/**
 * Work that a queue accepts.
 *
 * @param queue the queue
 * @param team the team that the work is counted for
 * @param key the key that authorized the work; absent on open queues
 */
public record AuthorizedWork(QueueRule queue, TeamRule team, Optional<KeyId> key) {}
