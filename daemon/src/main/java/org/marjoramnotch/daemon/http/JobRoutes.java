package org.marjoramnotch.daemon.http;

import java.util.Locale;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletionStage;
import org.apache.commons.codec.digest.DigestUtils;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.RequestId;
import org.marjoramnotch.model.job.JobSpecification;
import org.marjoramnotch.model.job.JobState;
import org.marjoramnotch.model.job.JobStatus;
import org.marjoramnotch.model.message.CancelJobRequest;
import org.marjoramnotch.model.message.JobAnswer;
import org.marjoramnotch.model.message.ReadJob;
import org.marjoramnotch.model.message.SubmitJobRequest;
import org.marjoramnotch.model.resource.Resources;

/** The routes for callers' jobs. */
final class JobRoutes implements Routes {
    private static final int QUEUE_SEGMENT = 2;
    private static final int JOB_SEGMENT = 2;
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final long TIMEOUT_MILLISECONDS = 10_000;

    private final LeaderCalls leaderCalls;
    private final BodyReader bodies;
    private final JsonBodies json;

    JobRoutes(LeaderCalls leaderCalls, BodyReader bodies, JsonBodies json) {
        this.leaderCalls = leaderCalls;
        this.bodies = bodies;
        this.json = json;
    }

    @Override
    public Optional<CompletionStage<HttpResponse>> handle(HttpCall call) {
        if (call.matches("POST", "v1", "queues", "*", "jobs")) {
            return Optional.of(submit(call));
        }
        if (call.matches("GET", "v1", "jobs", "*")) {
            return Optional.of(read(call));
        }
        if (call.matches("DELETE", "v1", "jobs", "*")) {
            return Optional.of(cancel(call));
        }
        return Optional.empty();
    }

    private CompletionStage<HttpResponse> submit(HttpCall call) {
        CallerHeaders headers = CallerHeaders.of(call);
        QueueName queue = new QueueName(call.segment(QUEUE_SEGMENT));
        RequestId request = requestId(headers);
        var credential = Credentials.of(call);
        return bodies.read(call, TIMEOUT_MILLISECONDS)
                .thenApply(body -> json.read(JobBody.class, body).specification())
                .thenCompose(
                        specification ->
                                leaderCalls.call(
                                        new SubmitJobRequest(
                                                credential,
                                                Optional.of(request),
                                                queue,
                                                specification),
                                        TIMEOUT_MILLISECONDS,
                                        JobAnswer.class,
                                        reply -> answer(ACCEPTED, reply)));
    }

    private CompletionStage<HttpResponse> read(HttpCall call) {
        call.request().body().discard();
        Optional<JobState> known = call.query("known").map(JobRoutes::parseState);
        long wait = WaitTime.parse(call.query("waitMilliseconds"));
        JobId job = new JobId(call.segment(JOB_SEGMENT));
        return leaderCalls.call(
                new ReadJob(Credentials.of(call), job, known, wait),
                wait + TIMEOUT_MILLISECONDS,
                JobAnswer.class,
                reply -> answer(OK, reply));
    }

    private CompletionStage<HttpResponse> cancel(HttpCall call) {
        call.request().body().discard();
        JobId job = new JobId(call.segment(JOB_SEGMENT));
        return leaderCalls.call(
                new CancelJobRequest(Credentials.of(call), job),
                TIMEOUT_MILLISECONDS,
                JobAnswer.class,
                reply -> answer(OK, reply));
    }

    private HttpResponse answer(int status, JobAnswer reply) {
        JobStatusBody body = JobStatusBody.of(reply.status());
        return OutcomeHeader.add(json.answer(status, body), body.outcome());
    }

    /**
     * Returns the identifier of the request. One is generated if the caller sent none, so that the
     * entry can resend the request.
     */
    private static RequestId requestId(CallerHeaders headers) {
        return new RequestId(
                headers.idempotencyKey()
                        .map(key -> "key-" + DigestUtils.sha256Hex(key))
                        .orElseGet(() -> "entry-" + UUID.randomUUID()));
    }

    private static JobState parseState(String text) {
        try {
            return JobState.valueOf(text.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException failure) {
            throw RefusalAnswers.invalidRequest(
                    "known must be queued, running, succeeded, failed or cancelled.");
        }
    }

    private record JobBody(
            String name,
            int tasks,
            long processorMillis,
            long memoryMegabytes,
            Optional<Long> accelerators,
            Optional<Long> expectedRunMilliseconds,
            Optional<Boolean> urgent,
            Optional<String> payload) {
        JobSpecification specification() {
            return new JobSpecification(
                    name,
                    tasks,
                    Resources.ofInput(processorMillis, memoryMegabytes, accelerators.orElse(0L)),
                    expectedRunMilliseconds.orElse(0L),
                    urgent.orElse(false),
                    payload.orElse(""));
        }
    }

    private record JobStatusBody(
            String job,
            String state,
            String outcome,
            int queued,
            int running,
            int succeeded,
            int failed) {
        static JobStatusBody of(JobStatus status) {
            return new JobStatusBody(
                    status.job().value(),
                    status.state().name().toLowerCase(Locale.ROOT),
                    status.outcome().name().toLowerCase(Locale.ROOT),
                    status.queued(),
                    status.running(),
                    status.succeeded(),
                    status.failed());
        }
    }
}
