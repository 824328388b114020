package org.marjoramnotch.model.fleet;

import java.util.Optional;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.ServiceName;

/**
 * The definition of a queue.
 *
 * @param name the name of the queue
 * @param host the host name that callers use
 * @param pathPrefix the prefix of the paths of its calls
 * @param pool the pool whose workers run its tasks
 * @param priority the priority; 0 is the highest and may preempt others
 * @param mostFailures number of failed runs of a task after which its workflow fails
 * @param stretch factor by which the length of the critical path is multiplied in the latency
 *     objective
 * @param slackMilliseconds time that the latency objective adds to the stretched critical path
 * @param open whether calls are accepted without a key
 * @param advice time costs of the placement advisor; present if tasks start only with its tickets
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
        Optional<AdviceTiming> advice) {
    /** Returns the same queue at another place. */
    public QueueDefinition at(String otherHost, String otherPathPrefix) {
        return new QueueDefinition(
                name,
                otherHost,
                otherPathPrefix,
                pool,
                priority,
                mostFailures,
                stretch,
                slackMilliseconds,
                open,
                advice);
    }
}
