package org.marjoramnotch.daemon.entry;

import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.marjoramnotch.daemon.endpoint.AnswerReader;
import org.marjoramnotch.daemon.endpoint.EndpointConnectionLimiter;
import org.marjoramnotch.daemon.endpoint.EndpointConnector;
import org.marjoramnotch.daemon.link.CellClient;
import org.marjoramnotch.daemon.metrics.DaemonMetrics;

/**
 * What the requests of an entry share.
 *
 * @param client sends to the leader
 * @param connector opens connections to endpoints
 * @param connections the connections that are open
 * @param reader reads answers whole
 * @param reports reports ends of attempts
 * @param events takes events of other threads
 * @param metrics counts and measures
 */
record EntryContext(
        CellClient client,
        EndpointConnector connector,
        EndpointConnectionLimiter connections,
        AnswerReader reader,
        AttemptEndReporter reports,
        Consumer<EntryEvent> events,
        DaemonMetrics metrics) {
    /** Applies what becomes of a stage on the entry's duty. */
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

    /** What to do with a value on the entry's duty. */
    @FunctionalInterface
    interface Outcome<T> {
        /** Takes the value. */
        void apply(long nowMilliseconds, T value);
    }
}
