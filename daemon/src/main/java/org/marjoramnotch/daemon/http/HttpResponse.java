package org.marjoramnotch.daemon.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Flow;
import org.marjoramnotch.daemon.transport.HttpHeader;

/**
 * A response to a request.
 *
 * @param status the HTTP status
 * @param headers the headers, except those of the body
 * @param contentType the type of the body; empty for none
 * @param body the whole body
 * @param stream the body if it is streamed instead
 */
public record HttpResponse(
        int status,
        List<HttpHeader> headers,
        String contentType,
        byte[] body,
        Optional<Flow.Publisher<byte[]>> stream) {
    /** The type of a JSON body. */
    public static final String JSON = "application/json";

    /** The type of a text. */
    public static final String TEXT = "text/plain; charset=UTF-8";

    private static final byte[] NO_BODY = {};

    /** Returns a response without a body. */
    public static HttpResponse of(int status) {
        return of(status, "", NO_BODY);
    }

    /** Returns a response with a body. */
    public static HttpResponse of(int status, String contentType, byte[] body) {
        return new HttpResponse(status, List.of(), contentType, body, Optional.empty());
    }

    /** Returns a response with a text. */
    public static HttpResponse text(int status, String text) {
        return of(status, TEXT, text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns a response whose body is streamed. */
    public static HttpResponse stream(int status, String contentType, Flow.Publisher<byte[]> body) {
        return new HttpResponse(status, List.of(), contentType, NO_BODY, Optional.of(body));
    }

    /** Returns the same response with one more header. */
    public HttpResponse withHeader(String name, String value) {
        List<HttpHeader> more = new ArrayList<>(headers);
        more.add(new HttpHeader(name, value));
        return new HttpResponse(status, List.copyOf(more), contentType, body, stream);
    }
}
