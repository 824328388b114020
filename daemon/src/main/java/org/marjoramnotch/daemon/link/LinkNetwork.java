package org.marjoramnotch.daemon.link;

import io.grpc.ManagedChannel;
import io.grpc.Server;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.netty.NettyServerBuilder;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.marjoramnotch.daemon.transport.WatchedThreadFactory;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;

/** Opens channels and servers for links, all on a small thread pool of their own. */
final class LinkNetwork {
    private static final int THREADS = 2;
    private static final int MAXIMUM_MESSAGE_BYTES = 64 * 1024 * 1024;

    private final WatchedThreadFactory factory;
    private final NioEventLoopGroup threads;

    /**
     * Creates the threads.
     *
     * @param failure is told when a thread ends that should not
     */
    LinkNetwork(Consumer<Throwable> failure) {
        factory = new WatchedThreadFactory("link", failure);
        threads = new NioEventLoopGroup(THREADS, factory);
    }

    /** Opens a channel that shares no connection with any other. */
    ManagedChannel openChannel(String host, int port) {
        return NettyChannelBuilder.forAddress(new InetSocketAddress(host, port))
                .usePlaintext()
                .disableRetry()
                .directExecutor()
                .maxInboundMessageSize(MAXIMUM_MESSAGE_BYTES)
                .channelType(NioSocketChannel.class)
                .eventLoopGroup(threads)
                .build();
    }

    /** Starts a server; with port 0 the system chooses a free port. */
    Server startServer(String host, int port, PeerLinkService service) {
        try {
            return NettyServerBuilder.forAddress(new InetSocketAddress(host, port))
                    .directExecutor()
                    .maxInboundMessageSize(MAXIMUM_MESSAGE_BYTES)
                    .channelType(NioServerSocketChannel.class)
                    .bossEventLoopGroup(threads)
                    .workerEventLoopGroup(threads)
                    .addService(service)
                    .build()
                    .start();
        } catch (IOException failure) {
            throw new MarjoramnotchException(
                    ErrorCode.INVALID_SETTINGS,
                    "Cannot listen on the link address "
                            + host
                            + ":"
                            + port
                            + " ("
                            + failure.getMessage()
                            + "); free it or change linkHost and linkPort.");
        }
    }

    /** Stops the threads. */
    void close() {
        factory.stop();
        threads.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
