package org.marjoramnotch.daemon.http;

import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpEntity;

/** Reads the bodies of requests whole, within a bound. */
final class BodyReader {
    private final ActorSystem system;
    private final long longestBodyBytes;

    BodyReader(ActorSystem system, long longestBodyBytes) {
        this.system = system;
        this.longestBodyBytes = longestBodyBytes;
    }

    /** Returns the actor system that bodies are read on. */
    ActorSystem system() {
        return system;
    }

    /** Returns the length above which a body is refused. */
    long longestBodyBytes() {
        return longestBodyBytes;
    }

    /** Reads the body; fails with {@code INVALID_REQUEST} if it is too long, cut or late. */
    CompletionStage<HttpEntity.Strict> read(HttpCall call, long timeoutMilliseconds) {
        return call.request()
                .entity()
                .toStrict(timeoutMilliseconds, longestBodyBytes, system)
                .exceptionally(
                        failure -> {
                            throw new CompletionException(
                                    Refusals.invalid(
                                            "The body was cut short, late or longer than "
                                                    + longestBodyBytes
                                                    + " bytes; send a shorter one whole."));
                        });
    }
}
