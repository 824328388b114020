package org.marjoramnotch.daemon.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import org.jboss.logging.Logger;
import org.marjoramnotch.daemon.log.LogEvent;
import org.marjoramnotch.daemon.transport.NetworkThreads;

/**
 * Listens for HTTP requests on one address. A stop of the listener interrupts no request: every
 * request that has been read is answered before its connection ends.
 */
public final class HttpListener {
    private static final Logger LOGGER = Logger.getLogger(HttpListener.class);
    private static final int BACKLOG = 1_024;
    private static final int MAXIMUM_CONNECTIONS = 16_384;

    /**
     * Sizes of the buffer for one read from a connection. The largest one is kept until all that it
     * holds is decoded; it takes a whole head of the longest size that most clients may send.
     */
    private static final int MINIMUM_READ_BYTES = 512;

    private static final int FIRST_READ_BYTES = 2_048;
    private static final int MAXIMUM_READ_BYTES = 16_384;

    private final Function<HttpRequest, CompletionStage<HttpResponse>> handler;
    private final Supplier<HttpResponse> answerWithoutOutcome;
    private final ClientGuard clients;
    private final Set<CompletableFuture<HttpResponse>> openCalls = ConcurrentHashMap.newKeySet();

    /** Open calls whose handler has returned, with its answer. */
    private final Map<CompletableFuture<HttpResponse>, CompletableFuture<HttpResponse>> handled =
            new ConcurrentHashMap<>();

    private final Set<ServerConnection> connections = ConcurrentHashMap.newKeySet();
    private final Channel acceptor;
    private final InetSocketAddress address;
    private volatile boolean closesAfterAnswers;
    private volatile boolean answersOpenCalls;
    private volatile boolean closed;

    private HttpListener(
            NetworkThreads threads,
            InetSocketAddress address,
            Function<HttpRequest, CompletionStage<HttpResponse>> handler,
            Supplier<HttpResponse> answerWithoutOutcome,
            ClientGuard clients) {
        this.handler = handler;
        this.answerWithoutOutcome = answerWithoutOutcome;
        this.clients = clients;
        this.acceptor =
                new ServerBootstrap()
                        .group(threads.group())
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.AUTO_READ, false)
                        .childOption(
                                ChannelOption.RCVBUF_ALLOCATOR,
                                new AdaptiveRecvByteBufAllocator(
                                        MINIMUM_READ_BYTES, FIRST_READ_BYTES, MAXIMUM_READ_BYTES))
                        .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                        .childOption(ChannelOption.SO_KEEPALIVE, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(new Initializer())
                        .bind(address)
                        .awaitUninterruptibly()
                        .channel();
        this.address = acceptor.isActive() ? (InetSocketAddress) acceptor.localAddress() : address;
    }

    /**
     * Starts listening.
     *
     * @param handler answers a request
     * @param answerWithoutOutcome creates the answer to a request whose outcome isn't known when
     *     the listener has to close
     * @param clients limits what the clients of the process make it keep
     * @throws CompletionException if the address cannot be used
     */
    public static HttpListener bind(
            NetworkThreads threads,
            InetSocketAddress address,
            Function<HttpRequest, CompletionStage<HttpResponse>> handler,
            Supplier<HttpResponse> answerWithoutOutcome,
            ClientGuard clients) {
        HttpListener listener =
                new HttpListener(threads, address, handler, answerWithoutOutcome, clients);
        if (!listener.acceptor.isActive()) {
            throw new CompletionException(new IOException("Cannot listen on " + address));
        }
        return listener;
    }

    /** Returns the address on which it listens. */
    public InetSocketAddress address() {
        return address;
    }

    /** Returns the number of requests that wait for their answer. */
    public int openCalls() {
        return openCalls.size();
    }

    /** Returns the number of connections that have not ended. */
    public int openConnections() {
        return connections.size();
    }

    /** Closes each connection after its next answer. */
    public void closeAfterAnswers() {
        closesAfterAnswers = true;
    }

    /**
     * Answers all open calls; their outcomes are not known. A call whose handler has not returned
     * yet is answered once it has, since it may be refusing the call.
     */
    public void answerOpenCalls() {
        answersOpenCalls = true;
        handled.forEach(this::answerIfOpen);
    }

    private void answerIfOpen(
            CompletableFuture<HttpResponse> call, CompletableFuture<HttpResponse> answer) {
        if (!answer.isDone()) {
            call.complete(answerWithoutOutcome.get());
        }
    }

    /**
     * Accepts the connections that are waiting, and then no more. Returns once their requests, and
     * those that were waiting on other connections, have been read, or at the time limit.
     */
    public void unbind(long timeoutMilliseconds) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMilliseconds);
        // Connections are accepted in their order, so an answer to the second one shows that the
        // first has been accepted too.
        try (LoopbackProbe last = new LoopbackProbe(address, end);
                LoopbackProbe accepted = new LoopbackProbe(address, end)) {
            accepted.exchange();
            acceptor.close().awaitUninterruptibly(timeoutMilliseconds);
            last.exchange();
        } catch (IOException failure) {
            LogEvent.of("listener_probe_failed").with("cause", failure).warn(LOGGER);
            acceptor.close();
        }
    }

    /**
     * Reads no further requests and closes each connection once all that it has read is answered.
     * Answers that are streamed, whose ends may be far, are cut.
     */
    public void closeConnections() {
        closed = true;
        connections.forEach(ServerConnection::close);
    }

    /** Returns whether connections close after their next answer. */
    boolean closesAfterAnswers() {
        return closesAfterAnswers;
    }

    /** Answers a request. */
    CompletionStage<HttpResponse> handle(HttpRequest request) {
        CompletableFuture<HttpResponse> call = new CompletableFuture<>();
        openCalls.add(call);
        CompletableFuture<HttpResponse> answer =
                call.whenComplete(
                        (response, failure) -> {
                            openCalls.remove(call);
                            handled.remove(call);
                        });
        CompletableFuture<HttpResponse> result = applyHandler(request).toCompletableFuture();
        handled.put(call, result);
        result.whenComplete(
                (response, failure) -> {
                    if (failure == null) {
                        call.complete(response);
                    } else {
                        call.completeExceptionally(failure);
                    }
                });
        if (answersOpenCalls) {
            answerIfOpen(call, result);
        }
        return answer;
    }

    /** Forgets a connection that has ended. */
    void onEnded(ServerConnection connection) {
        boolean wasFull = connections.size() >= MAXIMUM_CONNECTIONS;
        connections.remove(connection);
        if (wasFull) {
            acceptor.config().setAutoRead(true);
        }
    }

    private CompletionStage<HttpResponse> applyHandler(HttpRequest request) {
        try {
            return handler.apply(request);
        } catch (RuntimeException | Error failure) {
            return CompletableFuture.failedFuture(failure);
        }
    }

    /** Prepares the channel of an accepted connection. */
    private final class Initializer extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel channel) {
            InetSocketAddress client = channel.remoteAddress();
            // A stopping listener connects to itself.
            if (client != null && !closesAfterAnswers && !admit(channel, client)) {
                return;
            }
            ServerConnection connection = new ServerConnection(HttpListener.this, channel, clients);
            connections.add(connection);
            if (connections.size() >= MAXIMUM_CONNECTIONS) {
                acceptor.config().setAutoRead(false);
            }
            connection.install();
            if (closed) {
                connection.close();
            }
        }

        private boolean admit(SocketChannel channel, InetSocketAddress client) {
            boolean admitted = clients.admit(client.getAddress());
            channel.closeFuture().addListener(ended -> clients.onEnded(client.getAddress()));
            if (!admitted) {
                clients.report(ClientRefusal.ADDRESS_CONNECTIONS, client, 0);
                channel.close();
            }
            return admitted;
        }
    }
}
