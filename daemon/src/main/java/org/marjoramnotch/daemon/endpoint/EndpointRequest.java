package org.marjoramnotch.daemon.endpoint;

import java.util.ArrayList;
import java.util.List;
import org.marjoramnotch.daemon.transport.HttpHeader;

/**
 * A request to an endpoint.
 *
 * @param method the name of the method
 * @param target the path and query, not decoded
 * @param headers the headers, except the length of the body
 * @param body the whole body
 */
public record EndpointRequest(String method, String target, List<HttpHeader> headers, byte[] body) {
    private static final byte[] NO_BODY = {};

    /** Returns a request without a body. */
    public static EndpointRequest get(String target) {
        return new EndpointRequest("GET", target, List.of(), NO_BODY);
    }

    /** Returns a request with a body. */
    public static EndpointRequest post(String target, String contentType, byte[] body) {
        EndpointRequest request = new EndpointRequest("POST", target, List.of(), body);
        return contentType.isEmpty() ? request : request.withHeader("Content-Type", contentType);
    }

    /** Returns the same request with one more header. */
    public EndpointRequest withHeader(String name, String value) {
        List<HttpHeader> more = new ArrayList<>(headers);
        more.add(new HttpHeader(name, value));
        return new EndpointRequest(method, target, List.copyOf(more), body);
    }
}
