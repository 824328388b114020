package org.marjoramnotch.daemon.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.daemon.log.LogEvent;
import org.marjoramnotch.daemon.transport.IncomingBody;

/**
 * One accepted connection. It handles one request at a time and reads the next one only once the
 * answer is written. When it is to be closed, it first answers what it has read.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter {
    /** Lets the event loop read what has arrived before an idle connection is closed. */
    private static final long CLOSE_DELAY_MILLISECONDS = 5;

    private static final Logger LOGGER = Logger.getLogger(ServerConnection.class);

    private final HttpListener listener;
    private final SocketChannel channel;
    private final ResponseWriter writer;

    /** Parts of later requests that were read together with the present one. */
    private final Deque<Object> readAhead = new ArrayDeque<>();

    private @Nullable IncomingBody body;

    /** Whether a request, or the beginning of one, has been read and not answered. */
    private boolean unanswered;

    private boolean answering;
    private boolean closing;
    private boolean inputEnded;

    ServerConnection(HttpListener listener, SocketChannel channel) {
        this.listener = listener;
        this.channel = channel;
        this.writer = new ResponseWriter(channel);
    }

    /** Returns the handler of arriving bytes, which comes before the decoder of requests. */
    ChannelInboundHandler arrivals() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object bytes) {
                unanswered = true;
                context.fireChannelRead(bytes);
            }
        };
    }

    /** Closes the connection once it has no unanswered request; may be called by any thread. */
    void close() {
        channel.eventLoop()
                .execute(
                        () -> {
                            closing = true;
                            writer.cutStream();
                            channel.eventLoop()
                                    .schedule(
                                            this::closeIfIdle,
                                            CLOSE_DELAY_MILLISECONDS,
                                            TimeUnit.MILLISECONDS);
                        });
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        context.read();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof io.netty.handler.codec.http.HttpRequest || !readAhead.isEmpty()) {
            readAhead.add(message);
            processReadAhead();
        } else {
            addToBody(message);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        readIfNeeded();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event == ChannelInputShutdownEvent.INSTANCE) {
            failBody("The caller ended its part of the connection.");
            endInput();
        }
    }

    /** Closes the connection, once the open request is answered. */
    private void endInput() {
        inputEnded = true;
        if (!answering) {
            channel.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        failBody("The connection was closed.");
        writer.cutStream();
        readAhead.forEach(ReferenceCountUtil::release);
        readAhead.clear();
        listener.onEnded(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // Callers may reset their connections at any time.
        if (!(cause instanceof IOException)) {
            LogEvent.of("connection_failed").with("cause", cause).warn(LOGGER);
        }
        channel.close();
    }

    /** Begins the next request, unless one is being answered, and passes contents of its body. */
    private void processReadAhead() {
        while (!readAhead.isEmpty()) {
            Object next = readAhead.peek();
            if (next instanceof io.netty.handler.codec.http.HttpRequest head) {
                if (answering) {
                    return;
                }
                readAhead.remove();
                begin(head);
            } else {
                readAhead.remove();
                addToBody(next);
            }
        }
    }

    private void addToBody(Object content) {
        IncomingBody present = body;
        if (content instanceof HttpContent part && present != null) {
            boolean damaged = part.decoderResult().isFailure();
            present.add(part);
            if (damaged) {
                endInput();
            }
        } else {
            ReferenceCountUtil.release(content);
        }
    }

    private void begin(io.netty.handler.codec.http.HttpRequest head) {
        answering = true;
        if (head.decoderResult().isFailure()) {
            writer.write(
                    HttpResponse.text(
                            HttpResponseStatus.BAD_REQUEST.code(),
                            "The request is malformed; correct it."),
                    false,
                    true,
                    this::onAnswered);
            return;
        }
        boolean keepsAlive = HttpUtil.isKeepAlive(head);
        boolean onlyHead = head.method().name().equals("HEAD");
        IncomingBody arriving =
                new IncomingBody(
                        channel,
                        () -> {
                            if (HttpUtil.is100ContinueExpected(head)) {
                                sendContinue();
                            }
                        });
        body = arriving;
        HttpRequest request =
                new HttpRequest(head.method().name(), head.uri(), head.headers(), arriving);
        listener.handle(request)
                .whenComplete(
                        (response, failure) ->
                                runInEventLoop(
                                        () -> answer(response, failure, onlyHead, keepsAlive)));
    }

    private void runInEventLoop(Runnable task) {
        if (channel.eventLoop().inEventLoop()) {
            task.run();
        } else {
            channel.eventLoop().execute(task);
        }
    }

    private void sendContinue() {
        channel.writeAndFlush(
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }

    private void answer(
            @Nullable HttpResponse response,
            @Nullable Throwable failure,
            boolean onlyHead,
            boolean keepsAlive) {
        if (response == null) {
            LogEvent.of("call_failed").error(LOGGER, failure);
            channel.close();
            return;
        }
        boolean last = !keepsAlive || inputEnded || closing || listener.closesAfterAnswers();
        writer.write(response, onlyHead, last, this::onAnswered);
    }

    /**
     * Handles that an answer is written.
     *
     * @param last whether the connection ends with it
     */
    private void onAnswered(boolean last) {
        IncomingBody present = body;
        if (last || inputEnded) {
            channel.close();
            return;
        }
        if (present != null && !present.isTaken()) {
            present.discard();
        }
        answering = false;
        unanswered = !readAhead.isEmpty();
        processReadAhead();
        closeIfIdle();
        readIfNeeded();
    }

    private void closeIfIdle() {
        if (closing && !unanswered) {
            channel.close();
        }
    }

    private void readIfNeeded() {
        IncomingBody present = body;
        boolean needed = answering ? present != null && present.wantsContent() : !closing;
        if ((needed || (closing && unanswered && !answering)) && channel.isActive()) {
            channel.read();
        }
    }

    private void failBody(String reason) {
        IncomingBody present = body;
        if (present != null) {
            present.fail(new IOException(reason));
        }
    }
}
