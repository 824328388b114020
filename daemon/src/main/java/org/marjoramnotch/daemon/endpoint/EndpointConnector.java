package org.marjoramnotch.daemon.endpoint;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
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
import org.apache.pekko.stream.javadsl.RunnableGraph;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.SinkQueueWithCancel;
import org.apache.pekko.stream.javadsl.Source;

/** Opens connections to endpoints. A connection never resends a request by itself. */
public final class EndpointConnector {
    private static final Duration CONNECTING_TIMEOUT = Duration.ofMillis(1_000);

    private static final int MAXIMUM_CACHED_BLUEPRINTS = 1024;

    private final ActorSystem system;
    private final ClientConnectionSettings settings;
    private final Map<
                    EndpointAddress,
                    RunnableGraph<
                            Pair<
                                    Pair<
                                            BoundedSourceQueue<HttpRequest>,
                                            CompletionStage<OutgoingConnection>>,
                                    SinkQueueWithCancel<HttpResponse>>>>
            blueprints = new ConcurrentHashMap<>();

    /** Creates a connector that uses the given actor system. */
    public EndpointConnector(ActorSystem system) {
        this.system = system;
        this.settings =
                ClientConnectionSettings.create(system)
                        .withConnectingTimeout(
                                scala.jdk.javaapi.DurationConverters.toScala(CONNECTING_TIMEOUT))
                        .withIdleTimeout(scala.concurrent.duration.Duration.Inf());
    }

    /** Opens a new connection. The result fails if the endpoint cannot be reached. */
    public CompletionStage<EndpointConnection> open(EndpointAddress address) {
        return CompletableFuture.supplyAsync(() -> start(address), system.dispatcher())
                .thenCompose(Function.identity());
    }

    /**
     * Starts the streams of a connection. This takes too long to be done on the thread of a duty.
     */
    private CompletionStage<EndpointConnection> start(EndpointAddress address) {
        Pair<
                        Pair<BoundedSourceQueue<HttpRequest>, CompletionStage<OutgoingConnection>>,
                        SinkQueueWithCancel<HttpResponse>>
                materialized = blueprint(address).run(system);
        EndpointConnection connection =
                new EndpointConnection(materialized.first().first(), materialized.second());
        return materialized.first().second().thenApply(connected -> connection);
    }

    private RunnableGraph<
                    Pair<
                            Pair<
                                    BoundedSourceQueue<HttpRequest>,
                                    CompletionStage<OutgoingConnection>>,
                            SinkQueueWithCancel<HttpResponse>>>
            blueprint(EndpointAddress address) {
        if (blueprints.size() >= MAXIMUM_CACHED_BLUEPRINTS) {
            blueprints.clear();
        }
        return blueprints.computeIfAbsent(
                address,
                missing ->
                        Source.<HttpRequest>queue(1)
                                .viaMat(flow(address), Keep.both())
                                .toMat(Sink.<HttpResponse>queue(1), Keep.both()));
    }

    private Flow<HttpRequest, HttpResponse, CompletionStage<OutgoingConnection>> flow(
            EndpointAddress address) {
        return Http.get(system)
                .connectionTo(address.host())
                .toPort(address.port())
                .withClientConnectionSettings(settings)
                .http();
    }
}
