package org.marjoramnotch.daemon.http;

import io.netty.channel.socket.SocketChannel;
import java.net.InetSocketAddress;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.daemon.transport.IncomingBody;

/**
 * Counts what one connection keeps, and watches the time of its heads. Used on the event loop of
 * the connection.
 */
final class ConnectionGuard {
    /**
     * Time for which a request counts whose connection has ended. Requests end by their deadlines,
     * which are shorter, and a handler that never answers does not use up the budget.
     */
    private static final long ABANDONED_REQUEST_MILLISECONDS = 30_000;

    private final ClientGuard guard;
    private final SocketChannel channel;
    private final RequestDecoder decoder;
    private final ClientMemory.Account account;
    private final Consumer<ClientRefusal> refuse;
    private final @Nullable InetSocketAddress client;
    private @Nullable Future<?> headTimer;
    private long headBytes;
    private long answerBytes;
    private boolean ended;

    /**
     * Creates the guard of an accepted connection.
     *
     * @param refuse refuses an unfinished request; called on the event loop
     */
    ConnectionGuard(
            ClientGuard guard,
            SocketChannel channel,
            RequestDecoder decoder,
            Consumer<ClientRefusal> refuse) {
        this.guard = guard;
        this.channel = channel;
        this.decoder = decoder;
        this.refuse = refuse;
        this.client = channel.remoteAddress();
        this.account =
                guard.memory().open(reason -> channel.eventLoop().execute(() -> close(reason)));
    }

    /** Counts the head of a request that was decoded. */
    void onHead() {
        headBytes = decoder.headBytes();
    }

    /** Counts an answer until it is written. */
    void onAnswer(HttpResponse response) {
        answerBytes = ResponseWriter.keptBytes(response);
    }

    /**
     * Returns why the request whose head was counted is not handled, if it is refused. A request
     * that is handled keeps its head until it is answered, also if its connection is closed, so
     * that closing the largest holders does not free their memory in time.
     */
    @Nullable ClientRefusal findRefusal(boolean malformed) {
        if (malformed) {
            return ClientRefusal.MALFORMED_HEAD;
        }
        boolean large = account.keptBytes() > ClientMemory.ORDINARY_BYTES;
        return large && guard.memory().isShort() ? ClientRefusal.PROCESS_MEMORY : null;
    }

    /** Counts nothing more for a request and its answer. */
    void onAnswered() {
        headBytes = 0;
        answerBytes = 0;
    }

    /**
     * Counts what is kept now.
     *
     * @param body the body of the present request
     * @param awaitsHead whether the head of a request is read
     */
    void update(@Nullable IncomingBody body, boolean awaitsHead) {
        if (ended) {
            return;
        }
        long bodyBytes = body == null ? 0 : body.keptBytes();
        account.set(decoder.keptBytes() + headBytes + bodyBytes + answerBytes);
        boolean inHead = awaitsHead && decoder.hasPartialRequest();
        if (inHead && headTimer == null) {
            headTimer =
                    channel.eventLoop()
                            .schedule(
                                    () -> refuse.accept(ClientRefusal.SLOW_HEAD),
                                    guard.limits().headMilliseconds(),
                                    TimeUnit.MILLISECONDS);
        } else if (!inHead) {
            stopHeadTimer();
        }
    }

    /**
     * Handles the end of the connection.
     *
     * @param body the body of the present request
     * @param handling whether that request is still handled
     */
    void onEnded(@Nullable IncomingBody body, boolean handling) {
        ended = true;
        stopHeadTimer();
        account.retire();
        if (handling) {
            account.set(headBytes + (body == null ? 0 : body.keptBytes()));
            channel.eventLoop()
                    .schedule(this::release, ABANDONED_REQUEST_MILLISECONDS, TimeUnit.MILLISECONDS);
        } else {
            release();
        }
    }

    /** Counts nothing more if the connection has ended. */
    void releaseIfEnded() {
        if (ended) {
            release();
        }
    }

    /** Reports that the client is refused or its connection closed. */
    void report(ClientRefusal reason) {
        guard.report(reason, client, account.keptBytes());
    }

    private void close(ClientRefusal reason) {
        if (!ended) {
            report(reason);
            channel.close();
        }
    }

    private void release() {
        account.set(0);
    }

    private void stopHeadTimer() {
        if (headTimer != null) {
            headTimer.cancel(false);
            headTimer = null;
        }
    }
}
