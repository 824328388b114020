package org.marjoramnotch.daemon.http;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * A request with its path split into segments.
 *
 * @param request the request
 * @param segments the path segments, not decoded
 * @param arrivedMilliseconds time of arrival on the clock of the process
 */
record HttpCall(HttpRequest request, List<String> segments, long arrivedMilliseconds) {
    static HttpCall of(HttpRequest request, long nowMilliseconds) {
        String path = request.path();
        List<String> segments = Arrays.asList(path.substring(1).split("/", -1));
        return new HttpCall(request, segments, nowMilliseconds);
    }

    /** Returns the name of the HTTP method. */
    String method() {
        return request.method();
    }

    /** Returns whether the path starts with these segments; "*" matches any single segment. */
    boolean startsWith(String... parts) {
        if (segments.size() < parts.length) {
            return false;
        }
        for (int index = 0; index < parts.length; index++) {
            if (!parts[index].equals("*") && !parts[index].equals(segments.get(index))) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether the method and the complete path match; "*" matches any single segment. */
    boolean matches(String method, String... parts) {
        return method().equals(method) && segments.size() == parts.length && startsWith(parts);
    }

    /**
     * Returns a decoded path segment.
     *
     * @throws org.marjoramnotch.model.error.MarjoramnotchException with {@code INVALID_REQUEST} if
     *     it has an unknown escape
     */
    String segment(int index) {
        String raw = segments.get(index).replace("+", "%2B");
        try {
            return URLDecoder.decode(raw, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException unreadable) {
            throw RefusalAnswers.invalidRequest("The path has an unknown escape; correct it.");
        }
    }

    /** Returns the path from the given segment on and the query, not decoded. */
    String pathAndQueryFrom(int from) {
        String path = String.join("/", segments.subList(from, segments.size()));
        Optional<String> query = request.query();
        return "/" + path + query.map(text -> "?" + text).orElse("");
    }

    /** Returns the value of a header. */
    Optional<String> header(String name) {
        return request.header(name);
    }

    /** Returns the value of a query parameter. */
    Optional<String> query(String name) {
        return request.parameter(name);
    }
}
