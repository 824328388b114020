package org.marjoramnotch.daemon.endpoint;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Optional;
import org.marjoramnotch.daemon.transport.IncomingBody;

/** The response of an endpoint, whose body is still to be read. */
public final class EndpointResponse {
    private final HttpResponse head;
    private final IncomingBody body;

    EndpointResponse(HttpResponse head, IncomingBody body) {
        this.head = head;
        this.body = body;
    }

    /** Returns the HTTP status. */
    public int status() {
        return head.status().code();
    }

    /** Returns the value of a header. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(head.headers().get(name));
    }

    /** Returns the content type; empty if there is none. */
    public String contentType() {
        return header(HttpHeaderNames.CONTENT_TYPE.toString()).orElse("");
    }

    /** Returns whether only the end of the connection shows where the body ends. */
    public boolean isCloseDelimited() {
        return !HttpUtil.isTransferEncodingChunked(head)
                && !HttpUtil.isContentLengthSet(head)
                && HttpResponses.mayHaveBody(head);
    }

    /** Returns whether the connection may be used for another request. */
    boolean keepsConnection() {
        return HttpUtil.isKeepAlive(head) && !isCloseDelimited();
    }

    /** Returns the body. */
    public IncomingBody body() {
        return body;
    }
}
