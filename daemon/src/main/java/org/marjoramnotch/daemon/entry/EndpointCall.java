package org.marjoramnotch.daemon.entry;

import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.Connection;
import org.apache.pekko.util.ByteString;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.daemon.endpoint.AnswerReader;
import org.marjoramnotch.daemon.endpoint.CompleteAnswer;
import org.marjoramnotch.daemon.endpoint.EndpointAddress;
import org.marjoramnotch.daemon.endpoint.EndpointConnection;
import org.marjoramnotch.daemon.metrics.CountedEvent;
import org.marjoramnotch.model.message.Granted;

/** One granted attempt at its endpoint. Used by the entry's duty. */
final class EndpointCall {
    private static final int OK = 200;

    private final ActiveRequest owner;
    private final EntryContext host;
    private final HttpRequest request;
    private final EndpointAddress address;
    private final boolean feed;
    private @Nullable EndpointConnection connection;
    private boolean reserved;
    private boolean finished;

    EndpointCall(
            ActiveRequest owner,
            EntryContext host,
            HttpRequest forwarded,
            Granted grant,
            boolean feed) {
        this.owner = owner;
        this.host = host;
        this.request =
                forwarded
                        .addHeader(Connection.create("close"))
                        .addHeader(named("Attempt", grant.attempt().text()))
                        .addHeader(named("Incarnation", grant.incarnation()))
                        .addHeader(named("Team", grant.team().value()));
        this.address = new EndpointAddress(grant.host(), grant.port());
        this.feed = feed;
    }

    private static HttpHeader named(String name, String value) {
        return HttpHeader.parse("Marjoramnotch-" + name, value);
    }

    /** Opens a connection, then sends. */
    void start(long nowMilliseconds) {
        if (!feed) {
            if (!host.connections().tryReserve(address)) {
                owner.onConnectFailed(nowMilliseconds);
                return;
            }
            reserved = true;
        }
        host.whenDone(host.connector().open(address), this::send, this::onConnectFailed);
    }

    /** Closes the connection; nothing more is reported of it. */
    void disconnect() {
        finished = true;
        if (connection != null) {
            connection.close();
        }
        release();
    }

    /** Closes the connection of an answer that is awaited no more. */
    void abandon(long nowMilliseconds) {
        onBroken(nowMilliseconds);
    }

    private void onConnectFailed(long nowMilliseconds) {
        release();
        owner.onConnectFailed(nowMilliseconds);
    }

    private void send(long nowMilliseconds, EndpointConnection opened) {
        connection = opened;
        if (!owner.beginSending(nowMilliseconds)) {
            disconnect();
            owner.onGrantTooLate(nowMilliseconds);
            return;
        }
        host.whenDone(opened.exchange(request), this::onResponse, this::onBroken);
    }

    private void onResponse(long nowMilliseconds, HttpResponse response) {
        if (finished) {
            host.metrics().count(CountedEvent.ANSWER_DISCARDED);
            return;
        }
        if (AnswerReader.reportsNotRun(response)) {
            disconnect();
            owner.onEndpointRefused(nowMilliseconds);
        } else if (feed && response.status().intValue() == OK) {
            owner.onFeedOpened(
                    new CallerAnswer.Feed(FeedResponse.watch(response, this::onFeedEvent)));
        } else {
            host.whenDone(host.reader().read(response), this::onCompleteAnswer, this::onBroken);
        }
    }

    private void onFeedEvent(FeedResponse.FeedEnd end) {
        host.events().accept(now -> onFeedEnd(now, end));
    }

    private void onFeedEnd(long nowMilliseconds, FeedResponse.FeedEnd end) {
        boolean first = !finished;
        disconnect();
        if (!first) {
            return;
        }
        switch (end) {
            case COMPLETE ->
                    owner.onAnswerComplete(
                            nowMilliseconds,
                            new CompleteAnswer(
                                    OK,
                                    ContentTypes.APPLICATION_OCTET_STREAM,
                                    ByteString.emptyByteString()));
            case BROKEN -> owner.onAnswerBroken(nowMilliseconds);
            case CANCELLED -> owner.onCallerDisconnected(nowMilliseconds);
            default -> throw new IllegalArgumentException("Unknown end " + end);
        }
    }

    private void onCompleteAnswer(long nowMilliseconds, CompleteAnswer whole) {
        if (finished) {
            host.metrics().count(CountedEvent.ANSWER_DISCARDED);
            return;
        }
        disconnect();
        owner.onAnswerComplete(nowMilliseconds, whole);
    }

    private void onBroken(long nowMilliseconds) {
        if (finished) {
            return;
        }
        host.metrics().count(CountedEvent.ENDPOINT_CONNECTION_CLOSED);
        disconnect();
        owner.onAnswerBroken(nowMilliseconds);
    }

    private void release() {
        if (reserved) {
            reserved = false;
            host.connections().release(address);
        }
    }
}
