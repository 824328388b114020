package org.marjoramnotch.daemon.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.marjoramnotch.daemon.transport.IncomingBody;

/** A request that a listener has received. Its body is still to be read or discarded. */
public final class HttpRequest {
    /** The form of a target that begins with scheme and host (RFC 9112, 3.2.2). */
    private static final Pattern ABSOLUTE_TARGET =
            Pattern.compile("https?://([^/?#]+)(.*)", Pattern.CASE_INSENSITIVE);

    private final String method;
    private final Optional<String> targetHost;
    private final String path;
    private final Optional<String> query;
    private final HttpHeaders headers;
    private final IncomingBody body;

    /**
     * Creates a request.
     *
     * @param target the path and, after a question mark, the query; not decoded. Scheme and host
     *     may precede them.
     */
    public HttpRequest(String method, String target, HttpHeaders headers, IncomingBody body) {
        Matcher absolute = ABSOLUTE_TARGET.matcher(target);
        boolean namesHost = absolute.matches();
        String relative = namesHost ? absolute.group(2) : target;
        int mark = relative.indexOf('?');
        String named = mark < 0 ? relative : relative.substring(0, mark);
        this.method = method;
        this.targetHost = namesHost ? Optional.of(absolute.group(1)) : Optional.empty();
        this.path = named.isEmpty() ? "/" : named;
        this.query = mark < 0 ? Optional.empty() : Optional.of(relative.substring(mark + 1));
        this.headers = headers;
        this.body = body;
    }

    /** Returns the name of the method. */
    public String method() {
        return method;
    }

    /** Returns the host that the request is for, with its port if one was sent. */
    public Optional<String> host() {
        return targetHost.or(() -> header("Host"));
    }

    /** Returns the path, not decoded. */
    public String path() {
        return path;
    }

    /** Returns the query, not decoded. */
    public Optional<String> query() {
        return query;
    }

    /** Returns the decoded value of a parameter of the query. */
    public Optional<String> parameter(String name) {
        return query.map(text -> new QueryStringDecoder(text, false).parameters())
                .map(parameters -> parameters.getOrDefault(name, List.of()))
                .flatMap(values -> values.stream().findFirst());
    }

    /** Returns the value of a header. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name));
    }

    /** Returns the length of the body if the request tells it. */
    public OptionalLong declaredLength() {
        return header("Content-Length").map(HttpRequest::parseLength).orElse(OptionalLong.empty());
    }

    /** Returns the body. */
    public IncomingBody body() {
        return body;
    }

    private static OptionalLong parseLength(String text) {
        try {
            return OptionalLong.of(Long.parseLong(text.strip()));
        } catch (NumberFormatException unreadable) {
            return OptionalLong.empty();
        }
    }
}
