package org.marjoramnotch.daemon.entry;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.apache.pekko.NotUsed;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

/** Streams the body of a feed and reports how it ended. */
final class FeedResponse {
    private FeedResponse() {}

    /** The way in which a feed ended. */
    enum FeedEnd {
        /** The endpoint completed the feed. */
        COMPLETE,
        /** The connection to the endpoint failed. */
        BROKEN,
        /** The caller disconnected. */
        CANCELLED
    }

    /** Returns the response with a body that reports its end exactly once. */
    static HttpResponse watch(HttpResponse response, Consumer<FeedEnd> end) {
        AtomicBoolean complete = new AtomicBoolean();
        Source<ByteString, NotUsed> marksCompletion =
                Source.lazySource(
                                () -> {
                                    complete.set(true);
                                    return Source.<ByteString>empty();
                                })
                        .mapMaterializedValue(ignored -> NotUsed.getInstance());
        Source<ByteString, Object> body =
                response.entity()
                        .getDataBytes()
                        .concatLazy(marksCompletion)
                        .watchTermination(
                                (materialized, done) -> {
                                    done.whenComplete(
                                            (ignored, failure) ->
                                                    end.accept(
                                                            determineEnd(failure, complete.get())));
                                    return materialized;
                                });
        return HttpResponse.create()
                .withStatus(response.status())
                .withEntity(HttpEntities.create(response.entity().getContentType(), body));
    }

    private static FeedEnd determineEnd(Throwable failure, boolean complete) {
        if (failure != null) {
            return FeedEnd.BROKEN;
        }
        return complete ? FeedEnd.COMPLETE : FeedEnd.CANCELLED;
    }
}
