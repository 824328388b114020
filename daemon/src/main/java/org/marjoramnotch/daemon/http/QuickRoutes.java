package org.marjoramnotch.daemon.http;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.commons.codec.digest.DigestUtils;
import org.apache.pekko.http.javadsl.model.ContentType;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.util.ByteString;
import org.marjoramnotch.daemon.endpoint.CompleteAnswer;
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
        long length = call.request().entity().getContentLengthOption().orElse(0);
        long declared = Math.min(length, bodies.maximumBodyBytes());
        budget.reserve(declared);
        AtomicLong reserved = new AtomicLong(declared);
        return bodies.read(call, headers.deadlineMilliseconds())
                .thenCompose(
                        body -> {
                            long undeclared = body.getData().size() - declared;
                            budget.reserve(undeclared);
                            reserved.addAndGet(undeclared);
                            return submit(
                                    withClaim(unclaimed, headers, path, body),
                                    HttpRequest.POST(path).withEntity(body));
                        })
                .whenComplete((answer, failure) -> budget.release(reserved.get()));
    }

    private CompletionStage<HttpResponse> feed(HttpCall call) {
        call.request().discardEntityBytes(bodies.system());
        EntryRequest request = entryRequest(call, CallerHeaders.of(call), SlotKind.FEED);
        return submit(request, HttpRequest.GET(call.pathAndQueryFrom(REST_SEGMENT)));
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
            EntryRequest request, CallerHeaders headers, String path, HttpEntity.Strict body) {
        Optional<IdempotencyClaim> claim =
                headers.idempotencyKey()
                        .map(
                                key ->
                                        new IdempotencyClaim(
                                                DigestUtils.sha256Hex(key),
                                                digest(path, body.getData())));
        return new EntryRequest(
                request.credential(),
                request.queue(),
                request.kind(),
                request.urgent(),
                request.zone(),
                claim,
                request.deadlineMilliseconds());
    }

    private static String digest(String path, ByteString body) {
        ByteString line = ByteString.fromString(path + "\n");
        return DigestUtils.sha256Hex(line.concat(body).toArray());
    }

    private CompletionStage<HttpResponse> submit(EntryRequest request, HttpRequest forwarded) {
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
                            stored.status(),
                            contentType(stored.contentType()),
                            ByteString.fromArray(stored.body())));
        }
        if (answer instanceof CallerAnswer.Feed feed) {
            return OutcomeHeader.add(feed.response(), OutcomeHeader.RAN);
        }
        return refusals.answer(((CallerAnswer.Refused) answer).refusal());
    }

    private static HttpResponse completeResponse(CompleteAnswer answer) {
        HttpResponse response =
                HttpResponse.create()
                        .withStatus(answer.status())
                        .withEntity(HttpEntities.create(answer.contentType(), answer.body()));
        return OutcomeHeader.add(response, OutcomeHeader.RAN);
    }

    private static ContentType contentType(String text) {
        return text.isEmpty() || text.equals(ContentTypes.NO_CONTENT_TYPE.toString())
                ? ContentTypes.NO_CONTENT_TYPE
                : ContentTypes.parse(text);
    }
}
