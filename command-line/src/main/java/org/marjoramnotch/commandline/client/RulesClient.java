package org.marjoramnotch.commandline.client;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.function.UnaryOperator;
import org.marjoramnotch.logic.configuration.RuleFormatter;
import org.marjoramnotch.logic.configuration.RuleParser;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.identifier.RequestId;
import org.marjoramnotch.model.message.RulesAnswer;
import org.marjoramnotch.model.rule.RuleLine;

/** Reads and changes the rules of a cell. */
public final class RulesClient {
    private static final String PATH = "/v1/operator/rules";
    private static final int MAXIMUM_TRIES = 5;

    private final OperatorClient client;

    /** Creates a client that uses the given operator client. */
    public RulesClient(OperatorClient client) {
        this.client = client;
    }

    /** Returns a new, unique request identifier. */
    public static RequestId newRequestId() {
        return new RequestId(UUID.randomUUID().toString());
    }

    /** Returns the rules in force. */
    public RulesAnswer read() {
        JsonNode answer = client.call(new OperatorRequest("GET", PATH));
        return new RulesAnswer(answer.path("version").asLong(), answer.path("text").asText());
    }

    /**
     * Replaces the rules by those of a text and returns their version.
     *
     * @throws MarjoramnotchException with {@code VERSION_CONFLICT} and others
     */
    public long apply(RequestId request, long expectedVersion, String text) {
        ObjectNode body =
                JsonNodeFactory.instance
                        .objectNode()
                        .put("requestId", request.value())
                        .put("expectedVersion", expectedVersion)
                        .put("text", text);
        JsonNode answer = client.call(new OperatorRequest("PUT", PATH, Optional.of(body)));
        return answer.path("version").asLong();
    }

    /**
     * Changes the rules in force and returns their new version. Retries if another operator changed
     * them in the meantime.
     *
     * @throws MarjoramnotchException with {@code VERSION_CONFLICT} after several tries, and others
     */
    public long change(UnaryOperator<List<RuleLine>> change) {
        for (int tries = 1; tries < MAXIMUM_TRIES; tries++) {
            try {
                return changeOnce(change);
            } catch (MarjoramnotchException e) {
                if (e.code() != ErrorCode.VERSION_CONFLICT) {
                    throw e;
                }
            }
        }
        return changeOnce(change);
    }

    private long changeOnce(UnaryOperator<List<RuleLine>> change) {
        RulesAnswer current = read();
        List<RuleLine> changed = change.apply(RuleParser.parse(current.text()));
        return apply(newRequestId(), current.version(), RuleFormatter.format(changed));
    }
}
