package org.marjoramnotch.daemon.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpUtil;
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
    private final RequestDecoder decoder;
    private final ConnectionGuard guard;

    /** Parts of a later request that were decoded together with the end of the present one. */
    private final Deque<Object> readAhead = new ArrayDeque<>();

    private @Nullable IncomingBody body;

    private boolean answering;

    /** Whether the listener handles the present request. */
    private boolean handling;

    private boolean closing;
    private boolean inputEnded;
    private boolean refused;

    ServerConnection(HttpListener listener, SocketChannel channel, ClientGuard clients) {
        this.listener = listener;
        this.channel = channel;
        this.writer = new ResponseWriter(channel);
        this.decoder = new RequestDecoder(clients.limits());
        this.guard = new ConnectionGuard(clients, channel, decoder, this::refuse);
    }

    /** Adds the handlers of the connection to its channel. */
    void install() {
        channel.pipeline()
                .addLast(decoder)
                .addLast(new ReadGate(decoder))
                .addLast(new HttpResponseEncoder())
                .addLast(this);
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
        ClientRefusal refusal = decoder.refusal();
        if (refusal != null && !refused) {
            refuse(refusal);
        }
        closeIfIdle();
        updateKept();
        readIfNeeded();
    }

    /** Refuses the request whose head is being read, or the rest of a body. */
    private void refuse(ClientRefusal reason) {
        refused = true;
        guard.report(reason);
        if (answering) {
            failBody("The client was refused: " + reason.label());
            endInput();
            return;
        }
        answering = true;
        writer.write(reason.answer(), false, true, this::onAnswered);
    }

    private void updateKept() {
        guard.update(body, !answering && readAhead.isEmpty());
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
        guard.onEnded(body, handling);
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
        guard.onHead();
        updateKept();
        ClientRefusal reason = guard.findRefusal(head.decoderResult().isFailure());
        if (reason != null) {
            guard.report(reason);
            writer.write(reason.answer(), false, true, this::onAnswered);
            return;
        }
        boolean keepsAlive = HttpUtil.isKeepAlive(head);
        boolean onlyHead = head.method().name().equals("HEAD");
        IncomingBody arriving =
                new IncomingBody(
                        channel,
                        () -> {
                            if (HttpUtil.is100ContinueExpected(head)) {
                                writer.writeContinue();
                            }
                        });
        body = arriving;
        updateKept();
        HttpRequest request =
                new HttpRequest(head.method().name(), head.uri(), head.headers(), arriving);
        handling = true;
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

    private void answer(
            @Nullable HttpResponse response,
            @Nullable Throwable failure,
            boolean onlyHead,
            boolean keepsAlive) {
        handling = false;
        guard.releaseIfEnded();
        if (response == null) {
            LogEvent.of("call_failed").error(LOGGER, failure);
            channel.close();
            return;
        }
        guard.onAnswer(response);
        updateKept();
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
        if (present != null && present.hasArrived()) {
            // The contents are not kept until the next request.
            body = null;
        }
        answering = false;
        guard.onAnswered();
        processReadAhead();
        closeIfIdle();
        updateKept();
        readIfNeeded();
    }

    private void closeIfIdle() {
        if (closing && !isUnanswered()) {
            channel.close();
        }
    }

    /** Returns whether a request, or the beginning of one, has been read and not answered. */
    private boolean isUnanswered() {
        return answering || !readAhead.isEmpty() || decoder.hasPartialRequest();
    }

    private void readIfNeeded() {
        IncomingBody present = body;
        boolean needed =
                answering ? present != null && present.wantsContent() : !closing || isUnanswered();
        if (needed && !refused && channel.isActive()) {
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
