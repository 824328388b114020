package org.marjoramnotch.daemon.entry;

import org.jspecify.annotations.Nullable;
import org.marjoramnotch.daemon.endpoint.AnswerReader;
import org.marjoramnotch.daemon.endpoint.CompleteAnswer;
import org.marjoramnotch.daemon.endpoint.EndpointAddress;
import org.marjoramnotch.daemon.endpoint.EndpointConnection;
import org.marjoramnotch.daemon.endpoint.EndpointRequest;
import org.marjoramnotch.daemon.endpoint.EndpointResponse;
import org.marjoramnotch.daemon.metrics.CountedEvent;
import org.marjoramnotch.model.message.Granted;

/** The exchange of one granted attempt with its endpoint. Used by the duty of the entry only. */
final class EndpointCall {
    private static final int OK = 200;

    private final ActiveRequest owner;
    private final EntryContext context;
    private final EndpointRequest request;
    private final EndpointAddress address;
    private final boolean feed;
    private @Nullable EndpointConnection connection;
    private boolean reserved;
    private boolean finished;

    EndpointCall(
            ActiveRequest owner,
            EntryContext context,
            EndpointRequest forwarded,
            Granted grant,
            boolean feed) {
        this.owner = owner;
        this.context = context;
        this.request =
                forwarded
                        .withHeader("Host", grant.host() + ":" + grant.port())
                        .withHeader("Connection", "close")
                        .withHeader("Marjoramnotch-Attempt", grant.attempt().text())
                        .withHeader("Marjoramnotch-Incarnation", grant.incarnation())
                        .withHeader("Marjoramnotch-Team", grant.team().value());
        this.address = new EndpointAddress(grant.host(), grant.port());
        this.feed = feed;
    }

    /** Opens a connection and then sends the request. */
    void start(long nowMilliseconds) {
        if (!feed) {
            if (!context.connections().tryReserve(address)) {
                owner.onConnectFailed(nowMilliseconds);
                return;
            }
            reserved = true;
        }
        context.whenDone(context.connector().open(address), this::send, this::onConnectFailed);
    }

    /** Closes the connection. No further events of it are reported. */
    void disconnect() {
        finished = true;
        if (connection != null) {
            connection.close();
        }
        release();
    }

    /** Closes the connection and reports the answer as broken because it is no longer awaited. */
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
        context.whenDone(opened.exchange(request), this::onResponse, this::onBroken);
    }

    private void onResponse(long nowMilliseconds, EndpointResponse response) {
        if (finished) {
            context.metrics().count(CountedEvent.ANSWER_DISCARDED);
            return;
        }
        if (AnswerReader.reportsNotRun(response)) {
            disconnect();
            owner.onEndpointRefused(nowMilliseconds);
        } else if (feed && response.status() == OK) {
            owner.onFeedOpened(
                    new CallerAnswer.Feed(
                            OK,
                            response.contentType(),
                            new WatchedFeed(response.body(), this::onFeedEvent)));
        } else {
            context.whenDone(
                    context.reader().read(response), this::onCompleteAnswer, this::onBroken);
        }
    }

    private void onFeedEvent(WatchedFeed.FeedEnd end) {
        context.events().accept(now -> onFeedEnd(now, end));
    }

    private void onFeedEnd(long nowMilliseconds, WatchedFeed.FeedEnd end) {
        boolean first = !finished;
        disconnect();
        if (!first) {
            return;
        }
        switch (end) {
            case COMPLETE ->
                    owner.onAnswerComplete(
                            nowMilliseconds, new CompleteAnswer(OK, "", new byte[0]));
            case BROKEN -> owner.onAnswerBroken(nowMilliseconds);
            case CANCELLED -> owner.onCallerDisconnected(nowMilliseconds);
            default -> throw new IllegalArgumentException("Unsupported feed end " + end);
        }
    }

    private void onCompleteAnswer(long nowMilliseconds, CompleteAnswer answer) {
        if (finished) {
            context.metrics().count(CountedEvent.ANSWER_DISCARDED);
            return;
        }
        disconnect();
        owner.onAnswerComplete(nowMilliseconds, answer);
    }

    private void onBroken(long nowMilliseconds) {
        if (finished) {
            return;
        }
        context.metrics().count(CountedEvent.ENDPOINT_CONNECTION_CLOSED);
        disconnect();
        owner.onAnswerBroken(nowMilliseconds);
    }

    private void release() {
        if (reserved) {
            reserved = false;
            context.connections().release(address);
        }
    }
}
