package org.marjoramnotch.model.fleet;

import java.util.Optional;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.ServiceName;

/**
 * The terms of a queue.
 *
 * @param name the queue
 * @param host the host that callers name
 * @param pathPrefix what the paths of its calls begin with
 * @param pool the workers that run its tasks
 * @param priority 0 comes first and may preempt others
 * @param mostFailures after so many failed runs of a task its workflow has failed
 * @param stretch the factor between the longest chain of work and the latency objective
 * @param slackMilliseconds what the latency objective adds to the stretched chain
 * @param open whether calls need no key
 * @param advice present if tasks start only with tickets of the placement advisor
 */
public record QueueDefinition(
        QueueName name,
        String host,
        String pathPrefix,
        ServiceName pool,
        int priority,
        int mostFailures,
        double stretch,
        long slackMilliseconds,
        boolean open,
        Optional<AdviceTiming> advice) {}
