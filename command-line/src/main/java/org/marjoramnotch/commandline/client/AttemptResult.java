package org.marjoramnotch.commandline.client;

import com.fasterxml.jackson.databind.JsonNode;
import org.marjoramnotch.model.error.Refusal;

/** The result of sending a request to one daemon. */
sealed interface AttemptResult {
    /**
     * The daemon answered with success.
     *
     * @param body the answer
     */
    record Answered(JsonNode body) implements AttemptResult {}

    /**
     * The daemon refused the request.
     *
     * @param refusal the refusal
     */
    record RefusedByDaemon(Refusal refusal) implements AttemptResult {}

    /**
     * No complete answer arrived.
     *
     * @param reason what happened
     * @param mayHaveArrived whether the daemon may have received the request
     */
    record NoAnswer(String reason, boolean mayHaveArrived) implements AttemptResult {}
}
