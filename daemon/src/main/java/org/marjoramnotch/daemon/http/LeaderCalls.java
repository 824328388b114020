package org.marjoramnotch.daemon.http;

import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.marjoramnotch.daemon.link.CellClient;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.CellRequest;
import org.marjoramnotch.model.message.Refused;
import org.marjoramnotch.model.time.Clock;

/** Sends requests to the leader and converts its replies to HTTP responses. */
final class LeaderCalls {
    private final CellClient client;
    private final Clock clock;
    private final RefusalAnswers refusals;

    LeaderCalls(CellClient client, Clock clock, RefusalAnswers refusals) {
        this.client = client;
        this.clock = clock;
        this.refusals = refusals;
    }

    /**
     * Sends a request and converts the reply of the expected type to a response. A {@link Refused}
     * reply becomes the response of its refusal.
     */
    <T extends CellReply> CompletionStage<HttpResponse> call(
            CellRequest request,
            long timeoutMilliseconds,
            Class<T> expected,
            Function<T, HttpResponse> answer) {
        return client.send(request, clock.nowMilliseconds() + timeoutMilliseconds)
                .thenApply(reply -> answerOf(reply, expected, answer));
    }

    private <T extends CellReply> HttpResponse answerOf(
            CellReply reply, Class<T> expected, Function<T, HttpResponse> answer) {
        if (expected.isInstance(reply)) {
            return answer.apply(expected.cast(reply));
        }
        if (reply instanceof Refused refused) {
            return refusals.countAndAnswer(refused.refusal());
        }
        throw new IllegalStateException(
                "The leader sent an unexpected reply of type "
                        + reply.getClass().getSimpleName()
                        + ".");
    }
}
