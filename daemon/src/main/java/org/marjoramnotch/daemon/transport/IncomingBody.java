package org.marjoramnotch.daemon.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.jspecify.annotations.Nullable;

/**
 * The body of an HTTP message that arrives on a connection. Nothing is read from the connection
 * until the body is read, subscribed to or discarded; that may be done once, by any thread. The
 * connection passes its contents on its event loop.
 */
public final class IncomingBody implements Flow.Publisher<byte[]> {
    private final Channel channel;
    private final Runnable beforeFirstRead;
    private final Deque<ByteBuf> arrived = new ArrayDeque<>();
    private @Nullable BodyConsumer consumer;
    private @Nullable Throwable failure;
    private boolean lastArrived;
    private boolean ended;

    /**
     * Creates the body of a message whose head has arrived.
     *
     * @param beforeFirstRead is run on the event loop when somebody wants the body
     */
    public IncomingBody(Channel channel, Runnable beforeFirstRead) {
        this.channel = channel;
        this.beforeFirstRead = beforeFirstRead;
    }

    /**
     * Reads the whole body. Fails if it is longer than the maximum, does not arrive within the
     * timeout, or is cut off.
     */
    public CompletionStage<byte[]> read(long timeoutMilliseconds, long maximumBytes) {
        CompletableFuture<byte[]> result = new CompletableFuture<>();
        consume(new Collector(result, maximumBytes));
        if (!result.isDone()) {
            Future<?> timer =
                    channel.eventLoop()
                            .schedule(
                                    () -> expire(result),
                                    timeoutMilliseconds,
                                    TimeUnit.MILLISECONDS);
            result.whenComplete((body, thrown) -> timer.cancel(false));
        }
        return result;
    }

    private void expire(CompletableFuture<byte[]> result) {
        if (result.completeExceptionally(
                new TimeoutException("The body did not arrive in time."))) {
            discard();
        }
    }

    /** Reads the body without keeping it. */
    public void discard() {
        consume(BodyConsumer.DISCARDER);
    }

    @Override
    public void subscribe(Flow.Subscriber<? super byte[]> subscriber) {
        Publication publication = new Publication(subscriber);
        subscriber.onSubscribe(publication);
        consume(publication);
    }

    /**
     * Adds a content that the connection has read, and takes it over. A content that the decoder
     * could not read, which it reports as the last one, fails the body.
     */
    public void add(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            content.release();
            fail(content.decoderResult().cause());
            return;
        }
        if (content.content().isReadable()) {
            arrived.add(content.content());
        } else {
            content.release();
        }
        lastArrived = lastArrived || content instanceof LastHttpContent;
        pass();
    }

    /** Reports that the connection will read no further content. */
    public void fail(Throwable cause) {
        if (!lastArrived && failure == null) {
            failure = cause;
            pass();
        }
    }

    /** Returns whether the last content has arrived. */
    public boolean hasArrived() {
        return lastArrived;
    }

    /** Returns whether all contents have been taken. */
    public boolean isTaken() {
        return ended;
    }

    /** Returns whether the connection should read further contents. */
    public boolean wantsContent() {
        BodyConsumer present = consumer;
        return present != null
                && !lastArrived
                && failure == null
                && arrived.isEmpty()
                && present.isReady();
    }

    /** Returns the memory of the contents that are kept; called on the event loop. */
    public long keptBytes() {
        BodyConsumer present = consumer;
        long kept = present == null ? 0 : present.keptBytes();
        for (ByteBuf content : arrived) {
            kept += content.readableBytes();
        }
        return kept;
    }

    private void consume(BodyConsumer next) {
        if (channel.eventLoop().inEventLoop()) {
            begin(next);
        } else {
            channel.eventLoop().execute(() -> begin(next));
        }
    }

    private void begin(BodyConsumer next) {
        if (consumer == null) {
            beforeFirstRead.run();
        }
        consumer = next;
        pass();
        readIfWanted();
    }

    private void pass() {
        BodyConsumer present = consumer;
        while (present != null && !arrived.isEmpty() && present.isReady()) {
            ByteBuf content = arrived.remove();
            try {
                present.accept(content);
            } finally {
                content.release();
            }
            present = consumer;
        }
        if (present == null || ended || !arrived.isEmpty()) {
            return;
        }
        Throwable cause = failure;
        if (lastArrived) {
            ended = true;
            present.complete();
        } else if (cause != null) {
            ended = true;
            present.fail(cause);
        }
    }

    private void readIfWanted() {
        if (wantsContent()) {
            channel.read();
        }
    }

    /** Collects the whole body. */
    private final class Collector implements BodyConsumer {
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        private final CompletableFuture<byte[]> result;
        private final long maximumBytes;

        Collector(CompletableFuture<byte[]> result, long maximumBytes) {
            this.result = result;
            this.maximumBytes = maximumBytes;
        }

        @Override
        public boolean isReady() {
            return true;
        }

        /** A growing array is copied, and the whole body is copied once more. */
        @Override
        public long keptBytes() {
            return 2L * bytes.size();
        }

        @Override
        public void accept(ByteBuf content) {
            if (bytes.size() + content.readableBytes() > maximumBytes) {
                result.completeExceptionally(
                        new IOException("The body exceeds " + maximumBytes + " bytes."));
                consumer = BodyConsumer.DISCARDER;
                return;
            }
            bytes.writeBytes(ByteBufUtil.getBytes(content));
        }

        @Override
        public void complete() {
            result.complete(bytes.toByteArray());
        }

        @Override
        public void fail(Throwable cause) {
            result.completeExceptionally(cause);
        }
    }

    /** Passes each content to a subscriber, as many as it has requested. */
    private final class Publication implements BodyConsumer, Flow.Subscription {
        private final Flow.Subscriber<? super byte[]> subscriber;
        private long requested;
        private boolean cancelled;

        Publication(Flow.Subscriber<? super byte[]> subscriber) {
            this.subscriber = subscriber;
        }

        @Override
        public void request(long count) {
            channel.eventLoop()
                    .execute(
                            () -> {
                                requested += count;
                                pass();
                                readIfWanted();
                            });
        }

        @Override
        public void cancel() {
            channel.eventLoop().execute(() -> cancelled = true);
        }

        @Override
        public boolean isReady() {
            return requested > 0 && !cancelled;
        }

        @Override
        public void accept(ByteBuf content) {
            requested--;
            subscriber.onNext(ByteBufUtil.getBytes(content));
        }

        @Override
        public void complete() {
            if (!cancelled) {
                subscriber.onComplete();
            }
        }

        @Override
        public void fail(Throwable cause) {
            if (!cancelled) {
                subscriber.onError(cause);
            }
        }
    }
}
