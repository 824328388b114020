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
 * Queue rules: {@code NAME (private TEAM | keyed | open TEAM) policy POLICY [service SERVICE]
 * (idempotent | once)}; the service stands with the policies that call endpoints, and only there.
 */
final class QueueRuleSyntax implements RuleSyntax<QueueRule> {
    @Override
    public QueueRule read(RuleWords words) {
        QueueName queue = words.name("queue", QueueName::new);
        QueueAccess access = words.constant(QueueAccess.class);
        Optional<TeamName> owner =
                access == QueueAccess.KEYED
                        ? Optional.empty()
                        : Optional.of(words.name("team that owns the queue", TeamName::new));
        words.keyword("policy");
        QueuePolicy policy = words.constant(QueuePolicy.class);
        Optional<ServiceName> service = readService(words, policy);
        Repetition repetition = words.constant(Repetition.class);
        return new QueueRule(queue, access, owner, policy, service, repetition);
    }

    private static Optional<ServiceName> readService(RuleWords words, QueuePolicy policy) {
        if (policy != QueuePolicy.QUICK && policy != QueuePolicy.FEED) {
            return Optional.empty();
        }
        words.keyword("service");
        return Optional.of(words.name("service", ServiceName::new));
    }

    @Override
    public String write(QueueRule rule) {
        return rule.queue()
                + " "
                + RuleWords.lowerCase(rule.access())
                + rule.owner().map(owner -> " " + owner).orElse("")
                + " policy "
                + RuleWords.lowerCase(rule.policy())
                + rule.service().map(service -> " service " + service).orElse("")
                + " "
                + RuleWords.lowerCase(rule.repetition());
    }
}
