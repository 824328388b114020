package org.marjoramnotch.daemon.http;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.marjoramnotch.model.endpoint.EndpointDescription;
import org.marjoramnotch.model.endpoint.EndpointState;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.identifier.AttemptId;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.EndpointId;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.message.AnnounceEndpoint;
import org.marjoramnotch.model.message.EndpointRenewed;

/** The route for announcements of endpoints. */
final class EndpointRoutes implements Routes {
    private static final int ENDPOINT_SEGMENT = 2;
    private static final int OK = 200;
    private static final int HIGHEST_PORT = 65_535;
    private static final long TIMEOUT_MILLISECONDS = 3_000;

    private final LeaderCalls leaderCalls;
    private final BodyReader bodies;
    private final JsonBodies json;

    EndpointRoutes(LeaderCalls leaderCalls, BodyReader bodies, JsonBodies json) {
        this.leaderCalls = leaderCalls;
        this.bodies = bodies;
        this.json = json;
    }

    @Override
    public Optional<CompletionStage<HttpResponse>> handle(HttpCall call) {
        if (!call.matches("PUT", "v1", "endpoints", "*")) {
            return Optional.empty();
        }
        EndpointId endpoint = new EndpointId(call.segment(ENDPOINT_SEGMENT));
        return Optional.of(
                bodies.read(call, TIMEOUT_MILLISECONDS)
                        .thenApply(body -> json.read(AnnouncementBody.class, body))
                        .thenCompose(
                                body ->
                                        leaderCalls.call(
                                                body.announcement(endpoint),
                                                TIMEOUT_MILLISECONDS,
                                                EndpointRenewed.class,
                                                this::answer)));
    }

    private HttpResponse answer(EndpointRenewed renewed) {
        List<String> abandon = renewed.abandon().stream().map(AttemptId::text).toList();
        return json.answer(OK, new RenewedBody(renewed.leaseMilliseconds(), abandon));
    }

    private record RenewedBody(long leaseMilliseconds, List<String> abandon) {}

    private record AnnouncementBody(
            String incarnation,
            ServiceName service,
            String host,
            int port,
            int slots,
            int connections,
            AvailabilityZone zone,
            String vm,
            EndpointState state,
            Optional<List<String>> running,
            Optional<List<String>> abandoned) {
        AnnounceEndpoint announcement(EndpointId endpoint) {
            if (port < 1 || port > HIGHEST_PORT || slots < 1 || connections < slots) {
                throw RefusalAnswers.invalidRequest(
                        "port must be 1 to 65535, slots at least 1, connections at least slots.");
            }
            EndpointDescription description =
                    new EndpointDescription(
                            endpoint,
                            incarnation,
                            service,
                            host,
                            port,
                            slots,
                            connections,
                            zone,
                            vm);
            return new AnnounceEndpoint(description, state, attempts(running), attempts(abandoned));
        }

        private static List<AttemptId> attempts(Optional<List<String>> texts) {
            return texts.orElse(List.of()).stream().map(AnnouncementBody::attempt).toList();
        }

        private static AttemptId attempt(String text) {
            try {
                return AttemptId.parse(text);
            } catch (IllegalArgumentException | MarjoramnotchException failure) {
                throw RefusalAnswers.invalidRequest(
                        "Attempts must be named by their Marjoramnotch-Attempt header value.");
            }
        }
    }
}
