package org.marjoramnotch.daemon.http;

import org.marjoramnotch.daemon.endpoint.AnswerReader;

/** The header that tells a caller whether its work has run. */
final class OutcomeHeader {
    static final String RAN = "ran";

    private OutcomeHeader() {}

    static HttpResponse add(HttpResponse response, String outcome) {
        return response.withHeader(AnswerReader.OUTCOME_HEADER, outcome);
    }
}
