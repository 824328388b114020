package org.marjoramnotch.daemon.http;

import java.util.Locale;
import org.marjoramnotch.daemon.metrics.DaemonMetrics;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.error.Refusal;

/** Converts refusals to HTTP responses. */
final class RefusalAnswers {
    /** Another process can be asked at once; a client that knows no other waits for a restart. */
    private static final String RETRY_AFTER_SECONDS = "1";

    private final JsonBodies json;
    private final DaemonMetrics metrics;

    RefusalAnswers(JsonBodies json, DaemonMetrics metrics) {
        this.json = json;
        this.metrics = metrics;
    }

    /** Returns the response of a refusal and counts the refusal in the metrics. */
    HttpResponse countAndAnswer(Refusal refusal) {
        metrics.countRefusal(refusal.code());
        return answer(refusal);
    }

    /** Returns the response of a refusal that has already been counted. */
    HttpResponse answer(Refusal refusal) {
        String outcome = refusal.outcome().name().toLowerCase(Locale.ROOT);
        RefusalBody body = new RefusalBody(refusal.code().name(), outcome, refusal.message());
        HttpResponse response =
                OutcomeHeader.add(json.answer(statusOf(refusal.code()), body), outcome);
        return refusal.code() == ErrorCode.STOPPING
                ? response.withHeader("Retry-After", RETRY_AFTER_SECONDS)
                : response;
    }

    /** Returns the HTTP status of an error code. */
    static int statusOf(ErrorCode code) {
        return switch (code) {
            case INVALID_NAME, INVALID_REQUEST, INVALID_RULES, WRONG_QUEUE_POLICY -> 400;
            case KEY_REFUSED -> 401;
            case QUEUE_PRIVATE -> 403;
            case UNKNOWN_QUEUE, UNKNOWN_JOB, UNKNOWN_WORKER -> 404;
            case REQUEST_TIMEOUT -> 408;
            case VERSION_CONFLICT,
                    REQUEST_ID_REUSED,
                    IDEMPOTENT_REQUEST_RUNNING,
                    ANSWER_NOT_KEPT,
                    ENDPOINT_ALIVE,
                    STALE_EPOCH,
                    GROUP_STATE ->
                    409;
            case IDEMPOTENCY_KEY_REUSED, JOB_NEVER_FITS -> 422;
            case TEAM_AT_LIMIT, OVERLOADED -> 429;
            case ENDPOINT_UNREACHABLE, ENDPOINT_ANSWER_LOST -> 502;
            case NO_LEADER, NOT_LEADER, NO_ENDPOINT, STOPPING -> 503;
            case DEADLINE_EXCEEDED -> 504;
            default -> 500;
        };
    }

    /** Returns the error of an invalid request. */
    static MarjoramnotchException invalidRequest(String message) {
        return new MarjoramnotchException(ErrorCode.INVALID_REQUEST, message);
    }

    private record RefusalBody(String code, String outcome, String message) {}
}
