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
 * The rules in force, as the replicas of a cell agree on them. Applying a change costs time in
 * proportion to the change, not to all rules. The version grows by one with each accepted change
 * and never falls.
 */
public final class ConfigurationState implements ConfigurationView {
    private final RuleTable rules = new RuleTable();
    private final AcceptedRequestHistory acceptedRequests = new AcceptedRequestHistory();
    private long version;

    /** Creates the configuration without rules, at version 0. */
    public ConfigurationState() {}

    /** Returns the configuration that a snapshot was taken of. */
    public static ConfigurationState restore(ConfigurationSnapshot snapshot) {
        ConfigurationState state = new ConfigurationState();
        RuleChange change = RuleChange.of(List.of(), snapshot.lines());
        Invariant.check(
                state.rules.findProblems(change).isEmpty(), "A snapshot refers to a missing team");
        state.rules.apply(change);
        for (AcceptedRequest request : snapshot.requests()) {
            Invariant.check(
                    request.version() <= snapshot.version(),
                    "A snapshot remembers a version that is not reached");
            state.acceptedRequests.add(request);
        }
        state.version = snapshot.version();
        return state;
    }

    /** Returns all that this configuration consists of. */
    public ConfigurationSnapshot snapshot() {
        return new ConfigurationSnapshot(version, List.copyOf(lines()), acceptedRequests.all());
    }

    /**
     * Applies a change if its expected version is the one in force and the result is valid. A
     * resend of an accepted change gets the first answer; a refused change is not remembered.
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
        Optional<AcceptedRequest> first =
                findAcceptedRequest(command.request(), command.contentSha256());
        if (first.isPresent()) {
            return first.get().version();
        }
        checkVersion(command.expectedVersion());
        RuleChange change = RuleChange.of(command.removed(), command.put());
        throwIfInvalid(rules.findProblems(change));
        rules.apply(change);
        long next = version + 1;
        Invariant.check(next > version, "The configuration version fell");
        version = next;
        acceptedRequests.add(new AcceptedRequest(command.request(), command.contentSha256(), next));
        return next;
    }

    /**
     * Returns the accepted change that a request is a resend of.
     *
     * @throws MarjoramnotchException with {@code REQUEST_ID_REUSED} if it is another change
     */
    Optional<AcceptedRequest> findAcceptedRequest(RequestId request, String contentSha256) {
        return acceptedRequests.find(request, contentSha256);
    }

    /**
     * Checks that a change is based on the version in force.
     *
     * @throws MarjoramnotchException with {@code VERSION_CONFLICT}
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
                    "The change would leave rules that are not valid; nothing was changed. Correct:"
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

    /** Returns the line about a subject. */
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
