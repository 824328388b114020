package org.marjoramnotch.daemon.entry;

import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.marjoramnotch.daemon.endpoint.AnswerReader;
import org.marjoramnotch.daemon.endpoint.EndpointConnectionLimiter;
import org.marjoramnotch.daemon.endpoint.EndpointConnector;
import org.marjoramnotch.daemon.link.CellClient;
import org.marjoramnotch.daemon.metrics.DaemonMetrics;

/**
 * The components that the requests of an entry share.
 *
 * @param client sends requests to the leader
 * @param connector opens connections to endpoints
 * @param connections limits the open connections to each endpoint
 * @param reader reads complete answers
 * @param reports reports the ends of attempts to the leader
 * @param events accepts events from other threads
 * @param metrics records metrics
 */
record EntryContext(
        CellClient client,
        EndpointConnector connector,
        EndpointConnectionLimiter connections,
        AnswerReader reader,
        AttemptEndReporter reports,
        Consumer<EntryEvent> events,
        DaemonMetrics metrics) {
    /** Handles the result or the failure of a stage on the entry's duty. */
    <T> void whenDone(CompletionStage<T> stage, Outcome<T> success, EntryEvent failure) {
        stage.whenComplete(
                (value, thrown) ->
                        events.accept(
                                now -> {
                                    if (thrown == null) {
                                        success.apply(now, value);
                                    } else {
                                        failure.apply(now);
                                    }
                                }));
    }

    /** A handler of a stage's result, called on the entry's duty. */
    @FunctionalInterface
    interface Outcome<T> {
        /** Handles the result. */
        void apply(long nowMilliseconds, T value);
    }
}
