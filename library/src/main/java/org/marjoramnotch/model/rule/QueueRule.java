package org.marjoramnotch.model.rule;

import java.util.Optional;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.identifier.TeamName;

/**
 * Creates a queue.
 *
 * @param queue the queue
 * @param access whose work it takes
 * @param owner the team that owns it; present unless the access is {@link QueueAccess#KEYED}
 * @param policy the kind of workload
 * @param service the endpoints that answer; present for {@link QueuePolicy#QUICK} and {@link
 *     QueuePolicy#FEED}
 * @param repetition whether its work may run again
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
