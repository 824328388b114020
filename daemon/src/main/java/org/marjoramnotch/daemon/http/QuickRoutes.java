package org.marjoramnotch.daemon.http;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.commons.codec.binary.Hex;
import org.apache.commons.codec.digest.DigestUtils;
import org.marjoramnotch.daemon.endpoint.CompleteAnswer;
import org.marjoramnotch.daemon.endpoint.EndpointRequest;
import org.marjoramnotch.daemon.entry.CallerAnswer;
import org.marjoramnotch.daemon.entry.CallerRequest;
import org.marjoramnotch.daemon.entry.Entry;
import org.marjoramnotch.logic.entry.EntryRequest;
import org.marjoramnotch.model.endpoint.IdempotencyClaim;
import org.marjoramnotch.model.endpoint.SlotKind;
import org.marjoramnotch.model.endpoint.StoredAnswer;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.QueueName;

/** The routes for callers' quick requests and feeds. */
final class QuickRoutes implements Routes {
    private static final int QUEUE_SEGMENT = 2;
    private static final int REST_SEGMENT = 4;

    /** How earlier releases stored that an answer has no content type. */
    private static final String EARLIER_NO_CONTENT_TYPE = "none/none";

    private final AvailabilityZone zone;
    private final Entry entry;
    private final BodyReader bodies;
    private final RefusalAnswers refusals;
    private final BodyMemoryBudget budget;

    QuickRoutes(
            AvailabilityZone zone,
            Entry entry,
            BodyReader bodies,
            BodyMemoryBudget budget,
            RefusalAnswers refusals) {
        this.budget = budget;
        this.zone = zone;
        this.entry = entry;
        this.bodies = bodies;
        this.refusals = refusals;
    }

    @Override
    public Optional<CompletionStage<HttpResponse>> handle(HttpCall call) {
        if (call.method().equals("POST") && call.startsWith("v1", "queues", "*", "requests")) {
            return Optional.of(request(call));
        }
        if (call.method().equals("GET") && call.startsWith("v1", "queues", "*", "feed")) {
            return Optional.of(feed(call));
        }
        return Optional.empty();
    }

    private CompletionStage<HttpResponse> request(HttpCall call) {
        CallerHeaders headers = CallerHeaders.of(call);
        String path = call.pathAndQueryFrom(REST_SEGMENT);
        EntryRequest unclaimed = entryRequest(call, headers, SlotKind.REQUEST);
        long length = call.request().declaredLength().orElse(0);
        long declared = Math.min(length, bodies.maximumBodyBytes());
        budget.reserve(declared);
        AtomicLong reserved = new AtomicLong(declared);
        return bodies.read(call, headers.deadlineMilliseconds())
                .thenCompose(
                        body -> {
                            long undeclared = body.length - declared;
                            budget.reserve(undeclared);
                            reserved.addAndGet(undeclared);
                            return submit(
                                    withClaim(unclaimed, headers, path, body),
                                    EndpointRequest.post(
                                            path, call.header("Content-Type").orElse(""), body));
                        })
                .whenComplete((answer, failure) -> budget.release(reserved.get()));
    }

    private CompletionStage<HttpResponse> feed(HttpCall call) {
        call.request().body().discard();
        EntryRequest request = entryRequest(call, CallerHeaders.of(call), SlotKind.FEED);
        return submit(request, EndpointRequest.get(call.pathAndQueryFrom(REST_SEGMENT)));
    }

    private EntryRequest entryRequest(HttpCall call, CallerHeaders headers, SlotKind kind) {
        return new EntryRequest(
                Credentials.of(call),
                new QueueName(call.segment(QUEUE_SEGMENT)),
                kind,
                headers.urgent(),
                zone,
                Optional.empty(),
                call.arrivedMilliseconds() + headers.deadlineMilliseconds());
    }

    private static EntryRequest withClaim(
            EntryRequest request, CallerHeaders headers, String path, byte[] body) {
        Optional<IdempotencyClaim> claim =
                headers.idempotencyKey()
                        .map(
                                key ->
                                        new IdempotencyClaim(
                                                DigestUtils.sha256Hex(key), digest(path, body)));
        return new EntryRequest(
                request.credential(),
                request.queue(),
                request.kind(),
                request.urgent(),
                request.zone(),
                claim,
                request.deadlineMilliseconds());
    }

    private static String digest(String path, byte[] body) {
        MessageDigest digest = DigestUtils.getSha256Digest();
        digest.update((path + "\n").getBytes(StandardCharsets.UTF_8));
        return Hex.encodeHexString(digest.digest(body));
    }

    private CompletionStage<HttpResponse> submit(EntryRequest request, EndpointRequest forwarded) {
        return entry.submit(new CallerRequest(request, forwarded)).thenApply(this::answer);
    }

    private HttpResponse answer(CallerAnswer answer) {
        if (answer instanceof CallerAnswer.Complete complete) {
            return completeResponse(complete.answer());
        }
        if (answer instanceof CallerAnswer.Replay replay) {
            StoredAnswer stored = replay.answer();
            return completeResponse(
                    new CompleteAnswer(
                            stored.status(), contentType(stored.contentType()), stored.body()));
        }
        if (answer instanceof CallerAnswer.Feed feed) {
            HttpResponse response =
                    HttpResponse.stream(feed.status(), feed.contentType(), feed.body());
            return OutcomeHeader.add(response, OutcomeHeader.RAN);
        }
        return refusals.answer(((CallerAnswer.Refused) answer).refusal());
    }

    private static HttpResponse completeResponse(CompleteAnswer answer) {
        HttpResponse response =
                HttpResponse.of(answer.status(), answer.contentType(), answer.body());
        return OutcomeHeader.add(response, OutcomeHeader.RAN);
    }

    private static String contentType(String stored) {
        return stored.equals(EARLIER_NO_CONTENT_TYPE) ? "" : stored;
    }
}
