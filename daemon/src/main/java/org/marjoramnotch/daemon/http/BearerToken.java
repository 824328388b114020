package org.marjoramnotch.daemon.http;

import java.util.Locale;
import java.util.Optional;

/** Reads the token of the header {@code Authorization}. */
public final class BearerToken {
    /** The names of schemes don't depend on case (RFC 9110, 11.1). */
    private static final String SCHEME = "bearer ";

    private BearerToken() {}

    /** Returns the bearer token that was sent with a request. */
    public static Optional<String> of(HttpRequest request) {
        return request.header("Authorization")
                .filter(value -> value.toLowerCase(Locale.ROOT).startsWith(SCHEME))
                .map(value -> value.substring(SCHEME.length()).strip());
    }
}
