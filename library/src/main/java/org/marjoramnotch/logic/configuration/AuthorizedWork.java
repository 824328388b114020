package org.marjoramnotch.logic.configuration;

import java.util.Optional;
import org.marjoramnotch.model.identifier.KeyId;
import org.marjoramnotch.model.rule.QueueRule;
import org.marjoramnotch.model.rule.TeamRule;

/**
 * Work that a queue takes.
 *
 * @param queue the queue
 * @param team the team that the work counts for
 * @param key the key that it rests on; absent on open queues
 */
public record AuthorizedWork(QueueRule queue, TeamRule team, Optional<KeyId> key) {}
