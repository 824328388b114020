package org.marjoramnotch.logic.configuration;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.marjoramnotch.model.command.ChangeConfiguration;
import org.marjoramnotch.model.command.CommandResult;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.Invariant;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.identifier.KeyId;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.RequestId;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.rule.KeyRule;
import org.marjoramnotch.model.rule.QueueRule;
import org.marjoramnotch.model.rule.RuleLine;
import org.marjoramnotch.model.rule.RuleSubject;
import org.marjoramnotch.model.rule.TeamRule;

/**
 * The rules in force, replicated across the cell. Applying a change takes time proportional to the
 * size of the change, not to the number of rules. The version increases by one with each accepted
 * change and never decreases.
 */
public final class ConfigurationState implements ConfigurationView {
    private final RuleTable rules = new RuleTable();
    private final AcceptedRequestHistory acceptedRequests = new AcceptedRequestHistory();
    private long version;

    /** Creates a configuration without rules, at version 0. */
    public ConfigurationState() {}

    /** Restores a configuration from its snapshot. */
    public static ConfigurationState restore(ConfigurationSnapshot snapshot) {
        ConfigurationState state = new ConfigurationState();
        RuleChange change = RuleChange.of(List.of(), snapshot.lines());
        Invariant.check(
                state.rules.findProblems(change).isEmpty(), "A snapshot refers to a missing team");
        state.rules.apply(change);
        for (AcceptedRequest request : snapshot.requests()) {
            Invariant.check(
                    request.version() <= snapshot.version(),
                    "A snapshot contains an accepted change above its own version");
            state.acceptedRequests.add(request);
        }
        state.version = snapshot.version();
        return state;
    }

    /** Returns the complete state of this configuration. */
    public ConfigurationSnapshot snapshot() {
        return new ConfigurationSnapshot(version, List.copyOf(lines()), acceptedRequests.all());
    }

    /**
     * Applies a change if its expected version is the one in force and the resulting rules are
     * valid. A resend of an accepted change gets the answer of the first request; a refused change
     * is not recorded.
     */
    public CommandResult apply(ChangeConfiguration command) {
        try {
            return new CommandResult.ConfigurationAccepted(applyChange(command));
        } catch (MarjoramnotchException e) {
            if (e.code() == ErrorCode.INVARIANT_VIOLATED) {
                throw e;
            }
            return new CommandResult.Rejected(e.refusal());
        }
    }

    private long applyChange(ChangeConfiguration command) {
        Optional<AcceptedRequest> accepted =
                findAcceptedRequest(command.request(), command.contentSha256());
        if (accepted.isPresent()) {
            return accepted.get().version();
        }
        checkVersion(command.expectedVersion());
        RuleChange change = RuleChange.of(command.removed(), command.put());
        throwIfInvalid(rules.findProblems(change));
        rules.apply(change);
        long next = version + 1;
        Invariant.check(next > version, "The configuration version did not increase");
        version = next;
        acceptedRequests.add(new AcceptedRequest(command.request(), command.contentSha256(), next));
        return next;
    }

    /**
     * Returns the accepted change that a request is a resend of.
     *
     * @throws MarjoramnotchException with {@code REQUEST_ID_REUSED} if another change was accepted
     *     under this request identifier
     */
    Optional<AcceptedRequest> findAcceptedRequest(RequestId request, String contentSha256) {
        return acceptedRequests.find(request, contentSha256);
    }

    /**
     * Checks that a change is based on the version in force.
     *
     * @throws MarjoramnotchException with {@code VERSION_CONFLICT} if it is not
     */
    void checkVersion(long expectedVersion) {
        if (expectedVersion != version) {
            throw new MarjoramnotchException(
                    ErrorCode.VERSION_CONFLICT,
                    "The rules are at version "
                            + version
                            + ", and the change is based on version "
                            + expectedVersion
                            + "; read the rules again, repeat the change on them and send it under"
                            + " a new request identifier.");
        }
    }

    private static void throwIfInvalid(Collection<String> problems) {
        if (!problems.isEmpty()) {
            throw new MarjoramnotchException(
                    ErrorCode.INVALID_RULES,
                    "The change would make the rules invalid; nothing was changed. Correct:"
                            + "\n"
                            + String.join("\n", problems));
        }
    }

    /** Returns the rules in force as canonical text. */
    public String text() {
        return RuleFormatter.format(lines());
    }

    /** Returns the rules in force, sorted by subject. */
    public Collection<RuleLine> lines() {
        return rules.lines();
    }

    /** Returns the rule line of a subject. */
    public Optional<RuleLine> line(RuleSubject subject) {
        return rules.line(subject);
    }

    @Override
    public long version() {
        return version;
    }

    @Override
    public Optional<TeamRule> team(TeamName team) {
        return rules.team(team);
    }

    @Override
    public Optional<KeyRule> key(KeyId key) {
        return rules.key(key);
    }

    @Override
    public Optional<QueueRule> queue(QueueName queue) {
        return rules.queue(queue);
    }

    @Override
    public Collection<TeamRule> teams() {
        return rules.teams();
    }
}
