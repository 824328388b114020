package org.marjoramnotch.model.rule;

import java.util.Optional;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.identifier.TeamName;

/**
 * Creates a queue.
 *
 * @param queue the name of the queue
 * @param access whose work the queue accepts
 * @param owner the team that owns the queue; absent if the access is {@link QueueAccess#KEYED}
 * @param policy the kind of workload
 * @param service the service whose endpoints answer; present for {@link QueuePolicy#QUICK} and
 *     {@link QueuePolicy#FEED} only
 * @param repetition whether work of the queue may be run again
 */
public record QueueRule(
        QueueName queue,
        QueueAccess access,
        Optional<TeamName> owner,
        QueuePolicy policy,
        Optional<ServiceName> service,
        Repetition repetition)
        implements Rule {
    @Override
    public RuleSubject subject() {
        return new RuleSubject(RuleKind.QUEUE, queue.value());
    }
}
