package org.marjoramnotch.logic.configuration;

import java.util.Optional;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.rule.QueueAccess;
import org.marjoramnotch.model.rule.QueuePolicy;
import org.marjoramnotch.model.rule.QueueRule;
import org.marjoramnotch.model.rule.Repetition;

/**
 * Syntax of queue rules: {@code NAME (private TEAM | keyed | open TEAM) policy POLICY [service
 * SERVICE] (idempotent | once)}. The service is required for the policies that call endpoints and
 * not allowed for the others.
 */
final class QueueRuleSyntax implements RuleSyntax<QueueRule> {
    @Override
    public QueueRule read(RuleWordReader words) {
        QueueName queue = words.readName("queue", QueueName::new);
        QueueAccess access = words.readConstant(QueueAccess.class);
        Optional<TeamName> owner =
                access == QueueAccess.KEYED
                        ? Optional.empty()
                        : Optional.of(words.readName("team that owns the queue", TeamName::new));
        words.expectKeyword("policy");
        QueuePolicy policy = words.readConstant(QueuePolicy.class);
        Optional<ServiceName> service = readService(words, policy);
        Repetition repetition = words.readConstant(Repetition.class);
        return new QueueRule(queue, access, owner, policy, service, repetition);
    }

    private static Optional<ServiceName> readService(RuleWordReader words, QueuePolicy policy) {
        if (policy != QueuePolicy.QUICK && policy != QueuePolicy.FEED) {
            return Optional.empty();
        }
        words.expectKeyword("service");
        return Optional.of(words.readName("service", ServiceName::new));
    }

    @Override
    public String write(QueueRule rule) {
        return rule.queue()
                + " "
                + RuleWordReader.lowerCase(rule.access())
                + rule.owner().map(owner -> " " + owner).orElse("")
                + " policy "
                + RuleWordReader.lowerCase(rule.policy())
                + rule.service().map(service -> " service " + service).orElse("")
                + " "
                + RuleWordReader.lowerCase(rule.repetition());
    }
}
