package org.marjoramnotch.daemon.http;

import java.util.Locale;

/** Why a client was refused or its connection closed. */
public enum ClientRefusal {
    /** The connection holds more memory than one connection may. */
    CONNECTION_MEMORY,
    /**
     * The process is short of memory for clients; the connection is the largest holder, or its
     * request is large and was not handed on yet.
     */
    PROCESS_MEMORY,
    /** The head has too many lines. */
    HEADER_LINES,
    /** There are too many empty lines before the request. */
    EMPTY_LINES,
    /** The head did not end in time. */
    SLOW_HEAD,
    /** The head is too long or malformed. */
    MALFORMED_HEAD,
    /** The address has too many connections. */
    ADDRESS_CONNECTIONS;

    /** Returns the answer to a request whose head is refused; its connection is then closed. */
    HttpResponse answer() {
        return switch (this) {
            case MALFORMED_HEAD -> HttpResponse.text(400, "The request is malformed; correct it.");
            case SLOW_HEAD ->
                    HttpResponse.text(408, "The request did not arrive in time; send it again.");
            case PROCESS_MEMORY ->
                    HttpResponse.text(
                                    503,
                                    "The process is short of memory for requests; send it again"
                                            + " after the pause.")
                            .withHeader("Retry-After", "1");
            default ->
                    HttpResponse.text(431, "The head of the request exceeds a limit; shorten it.");
        };
    }

    /** Returns the value in log lines and metrics. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
