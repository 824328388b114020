package org.marjoramnotch.daemon.endpoint;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;

/** Rules of HTTP about responses. */
final class HttpResponses {
    private HttpResponses() {}

    /** Returns whether a response to a GET or POST request may have a body. */
    static boolean mayHaveBody(HttpResponse response) {
        HttpResponseStatus status = response.status();
        return !isInformational(response)
                && !status.equals(HttpResponseStatus.NO_CONTENT)
                && !status.equals(HttpResponseStatus.NOT_MODIFIED);
    }

    /** Returns whether the final response to the request is still to come. */
    static boolean isInformational(HttpResponse response) {
        return response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    }
}
