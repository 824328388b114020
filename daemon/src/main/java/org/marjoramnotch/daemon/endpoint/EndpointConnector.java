package org.marjoramnotch.daemon.endpoint;

import java.time.Duration;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.OutgoingConnection;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.settings.ClientConnectionSettings;
import org.apache.pekko.japi.Pair;
import org.apache.pekko.stream.BoundedSourceQueue;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Keep;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.SinkQueueWithCancel;
import org.apache.pekko.stream.javadsl.Source;

/** Opens connections to endpoints. No request is ever sent again by the connection itself. */
public final class EndpointConnector {
    private static final Duration CONNECTING_TIMEOUT = Duration.ofMillis(1_000);

    private final ActorSystem system;
    private final ClientConnectionSettings settings;

    /** Creates a connector on the actor system. */
    public EndpointConnector(ActorSystem system) {
        this.system = system;
        this.settings =
                ClientConnectionSettings.create(system)
                        .withConnectingTimeout(
                                scala.jdk.javaapi.DurationConverters.toScala(CONNECTING_TIMEOUT))
                        .withIdleTimeout(scala.concurrent.duration.Duration.Inf());
    }

    /** Opens a new connection; the result fails if the endpoint is not reached. */
    public CompletionStage<EndpointConnection> open(EndpointAddress address) {
        Flow<HttpRequest, HttpResponse, CompletionStage<OutgoingConnection>> flow =
                Http.get(system)
                        .connectionTo(address.host())
                        .toPort(address.port())
                        .withClientConnectionSettings(settings)
                        .http();
        Pair<
                        Pair<BoundedSourceQueue<HttpRequest>, CompletionStage<OutgoingConnection>>,
                        SinkQueueWithCancel<HttpResponse>>
                parts =
                        Source.<HttpRequest>queue(1)
                                .viaMat(flow, Keep.both())
                                .toMat(Sink.<HttpResponse>queue(1), Keep.both())
                                .run(system);
        EndpointConnection connection =
                new EndpointConnection(parts.first().first(), parts.second());
        return parts.first().second().thenApply(connected -> connection);
    }
}
