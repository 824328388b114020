package org.marjoramnotch.daemon.http;

import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.HttpRequest;

/** Reads the bodies of requests whole, within a bound. */
public final class BodyReader {
    private final ActorSystem system;
    private final long maximumBodyBytes;

    /** Creates a reader of bodies up to a length. */
    public BodyReader(ActorSystem system, long longestBodyBytes) {
        this.system = system;
        this.maximumBodyBytes = longestBodyBytes;
    }

    /** Returns the actor system that bodies are read on. */
    ActorSystem system() {
        return system;
    }

    /** Returns the length above which a body is refused. */
    long maximumBodyBytes() {
        return maximumBodyBytes;
    }

    /** Reads the body; fails with {@code INVALID_REQUEST} if it is too long, cut or late. */
    CompletionStage<HttpEntity.Strict> read(HttpCall call, long timeoutMilliseconds) {
        return read(call.request(), timeoutMilliseconds);
    }

    /** Reads the body; fails with {@code INVALID_REQUEST} if it is too long, cut or late. */
    public CompletionStage<HttpEntity.Strict> read(HttpRequest request, long timeoutMilliseconds) {
        return request.entity()
                .toStrict(timeoutMilliseconds, maximumBodyBytes, system)
                .exceptionally(
                        failure -> {
                            throw new CompletionException(
                                    RefusalAnswers.invalidRequest(
                                            "The body was cut short, late or longer than "
                                                    + maximumBodyBytes
                                                    + " bytes; send a shorter one whole."));
                        });
    }
}
