package org.marjoramnotch.logic.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.identifier.KeyId;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.message.Credential;
import org.marjoramnotch.model.rule.KeyRule;
import org.marjoramnotch.model.rule.QueueAccess;
import org.marjoramnotch.model.rule.QueueRule;
import org.marjoramnotch.model.rule.TeamRule;

/** Decides whether a queue accepts work, based on the key that was sent with it. */
public final class WorkAuthorization {
    private WorkAuthorization() {}

    /**
     * Returns the work as the queue accepts it.
     *
     * @throws MarjoramnotchException with {@code UNKNOWN_QUEUE}, {@code KEY_REFUSED} or {@code
     *     QUEUE_PRIVATE}; the outcome is {@code NOT_RUN}
     */
    public static AuthorizedWork authorize(
            ConfigurationView configuration, QueueName name, Optional<Credential> credential) {
        QueueRule queue = requireQueue(configuration, name);
        if (queue.access() == QueueAccess.OPEN) {
            TeamName owner = queue.owner().orElseThrow();
            return new AuthorizedWork(queue, requireTeam(configuration, owner), Optional.empty());
        }
        KeyRule key = requireKey(configuration, credential);
        checkAccess(queue, key.team());
        TeamRule team = requireTeam(configuration, key.team());
        return new AuthorizedWork(queue, team, Optional.of(key.key()));
    }

    /**
     * Checks, when a command is applied, that work authorized earlier is still accepted.
     *
     * @throws MarjoramnotchException as in {@link #authorize}
     */
    public static AuthorizedWork reauthorize(
            ConfigurationView configuration, QueueName name, TeamName team, Optional<KeyId> key) {
        QueueRule queue = requireQueue(configuration, name);
        TeamRule teamRule = requireTeam(configuration, team);
        if (queue.access() == QueueAccess.OPEN) {
            if (!queue.owner().equals(Optional.of(team))) {
                throw privateQueue(name);
            }
            return new AuthorizedWork(queue, teamRule, Optional.empty());
        }
        KeyRule keyRule =
                key.flatMap(configuration::key)
                        .filter(rule -> rule.team().equals(team))
                        .orElseThrow(WorkAuthorization::keyRefused);
        checkAccess(queue, team);
        return new AuthorizedWork(queue, teamRule, Optional.of(keyRule.key()));
    }

    /**
     * Returns the rule of the key in a credential.
     *
     * @throws MarjoramnotchException with {@code KEY_REFUSED} if the key is missing or unknown or
     *     its secret does not match
     */
    public static KeyRule requireKey(
            ConfigurationView configuration, Optional<Credential> credential) {
        Credential presented = credential.orElseThrow(WorkAuthorization::keyRefused);
        KeyRule key = configuration.key(presented.key()).orElseThrow(WorkAuthorization::keyRefused);
        if (!sameSecret(key.secretSha256(), presented.secretSha256())) {
            throw keyRefused();
        }
        return key;
    }

    private static boolean sameSecret(String expected, String presented) {
        return MessageDigest.isEqual(
                expected.getBytes(StandardCharsets.US_ASCII),
                presented.getBytes(StandardCharsets.US_ASCII));
    }

    private static QueueRule requireQueue(ConfigurationView configuration, QueueName name) {
        return configuration
                .queue(name)
                .orElseThrow(
                        () ->
                                new MarjoramnotchException(
                                        ErrorCode.UNKNOWN_QUEUE,
                                        "No rule creates queue "
                                                + name
                                                + "; check the name or ask an operator to create"
                                                + " it."));
    }

    private static TeamRule requireTeam(ConfigurationView configuration, TeamName team) {
        return configuration.team(team).orElseThrow(WorkAuthorization::keyRefused);
    }

    private static void checkAccess(QueueRule queue, TeamName team) {
        boolean accepted =
                queue.access() == QueueAccess.KEYED || queue.owner().equals(Optional.of(team));
        if (!accepted) {
            throw privateQueue(queue.queue());
        }
    }

    private static MarjoramnotchException privateQueue(QueueName queue) {
        return new MarjoramnotchException(
                ErrorCode.QUEUE_PRIVATE,
                "Queue " + queue + " is private to another team; use a key of its owner.");
    }

    private static MarjoramnotchException keyRefused() {
        return new MarjoramnotchException(
                ErrorCode.KEY_REFUSED,
                "The key is missing, unknown or withdrawn; send a valid key as a bearer token.");
    }
}
