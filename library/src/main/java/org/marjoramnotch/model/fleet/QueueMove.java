package org.marjoramnotch.model.fleet;

import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.ServiceName;

/**
 * The last change of the pool that a queue is sent to, or its addition to a pool without workers.
 *
 * @param queue the queue
 * @param pool the pool that it is sent to since then
 * @param version the version of the configuration that sent it there
 * @param sinceEpochMilliseconds when that configuration was proposed, in Unix time; 0 if an earlier
 *     release proposed it
 */
public record QueueMove(
        QueueName queue, ServiceName pool, long version, long sinceEpochMilliseconds) {}
