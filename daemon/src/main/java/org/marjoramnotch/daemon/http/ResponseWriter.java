package org.marjoramnotch.daemon.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.concurrent.Flow;
import org.jspecify.annotations.Nullable;

/** Writes the responses of one connection. Used on its event loop only. */
final class ResponseWriter {
    /** Handles that a response is written. */
    interface WrittenListener {
        /**
         * Handles that a response is written.
         *
         * @param last whether the connection must end
         */
        void onWritten(boolean last);
    }

    /**
     * Longest part of a body that is handed to the channel at once, since the channel copies it to
     * direct memory until the client reads it.
     */
    private static final int PART_BYTES = 64 * 1024;

    private final SocketChannel channel;
    private @Nullable BodyStream stream;

    ResponseWriter(SocketChannel channel) {
        this.channel = channel;
    }

    /** Returns the memory of a response while it is written. */
    static long keptBytes(HttpResponse response) {
        int length = response.body().length;
        return (long) length + Math.min(length, PART_BYTES);
    }

    /**
     * Writes a response.
     *
     * @param onlyHead whether the body is left out, as in the answer to a HEAD request
     * @param last whether the connection ends with this response
     */
    void write(HttpResponse response, boolean onlyHead, boolean last, WrittenListener listener) {
        if (response.stream().isPresent() && !onlyHead) {
            writeStream(response, last, listener);
            return;
        }
        byte[] body = response.body();
        if (body.length > PART_BYTES && !onlyHead) {
            writeParts(response, last, listener);
            return;
        }
        DefaultFullHttpResponse message =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(response.status()),
                        Unpooled.wrappedBuffer(onlyHead ? new byte[0] : body));
        setHeaders(message.headers(), response, last);
        message.headers().set("Content-Length", body.length);
        channel.writeAndFlush(message)
                .addListener(written -> listener.onWritten(last || !written.isSuccess()));
    }

    private void writeParts(HttpResponse response, boolean last, WrittenListener listener) {
        DefaultHttpResponse head =
                new DefaultHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(response.status()));
        setHeaders(head.headers(), response, last);
        head.headers().set("Content-Length", response.body().length);
        channel.write(head);
        writePart(response.body(), 0, last, listener);
    }

    /** Writes a part of a body, and the next one once it is written. */
    private void writePart(byte[] body, int from, boolean last, WrittenListener listener) {
        int length = Math.min(PART_BYTES, body.length - from);
        int end = from + length;
        ByteBuf part = Unpooled.wrappedBuffer(body, from, length);
        HttpContent content =
                end == body.length
                        ? new DefaultLastHttpContent(part)
                        : new DefaultHttpContent(part);
        channel.writeAndFlush(content)
                .addListener(
                        written -> {
                            if (written.isSuccess() && end < body.length) {
                                writePart(body, end, last, listener);
                            } else {
                                listener.onWritten(last || !written.isSuccess());
                            }
                        });
    }

    /** Tells the client to send the body of its request. */
    void writeContinue() {
        channel.writeAndFlush(
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }

    /** Ends a streamed body without its end, so that the caller notices that it is incomplete. */
    void cutStream() {
        if (stream != null) {
            stream.cancel();
            channel.close();
        }
    }

    private void writeStream(HttpResponse response, boolean last, WrittenListener listener) {
        DefaultHttpResponse head =
                new DefaultHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(response.status()));
        setHeaders(head.headers(), response, last);
        head.headers().set("Transfer-Encoding", "chunked");
        channel.writeAndFlush(head);
        BodyStream body = new BodyStream(last, listener);
        stream = body;
        // Notices that the caller has left.
        channel.read();
        response.stream().orElseThrow().subscribe(body);
    }

    private static void setHeaders(HttpHeaders headers, HttpResponse response, boolean last) {
        response.headers().forEach(header -> headers.add(header.name(), header.value()));
        if (!response.contentType().isEmpty()) {
            headers.set("Content-Type", response.contentType());
        }
        if (last) {
            headers.set("Connection", "close");
        }
    }

    /** Writes a streamed body; asks for each part once the part before it is written. */
    private final class BodyStream implements Flow.Subscriber<byte[]> {
        private final boolean last;
        private final WrittenListener listener;
        private Flow.@Nullable Subscription subscription;
        private boolean ended;

        BodyStream(boolean last, WrittenListener listener) {
            this.last = last;
            this.listener = listener;
        }

        void cancel() {
            Flow.Subscription present = subscription;
            if (!ended && present != null) {
                present.cancel();
            }
            ended = true;
        }

        @Override
        public void onSubscribe(Flow.Subscription created) {
            subscription = created;
            created.request(1);
        }

        @Override
        public void onNext(byte[] part) {
            channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(part)))
                    .addListener(this::onPartWritten);
        }

        private void onPartWritten(io.netty.util.concurrent.Future<? super Void> written) {
            Flow.Subscription present = subscription;
            if (!written.isSuccess()) {
                cancel();
                channel.close();
            } else if (present != null && !ended) {
                present.request(1);
            }
        }

        @Override
        public void onError(Throwable failure) {
            ended = true;
            channel.close();
        }

        @Override
        public void onComplete() {
            ChannelFuture written = channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
            written.addListener(
                    done ->
                            channel.eventLoop()
                                    .execute(
                                            () -> {
                                                ended = true;
                                                stream = null;
                                                listener.onWritten(last);
                                            }));
        }
    }
}
