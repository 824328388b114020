package org.marjoramnotch.daemon.endpoint;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.marjoramnotch.daemon.transport.NetworkThreads;

/** Opens connections to endpoints. A connection never resends a request by itself. */
public final class EndpointConnector {
    private static final int CONNECTING_TIMEOUT_MILLISECONDS = 1_000;

    private final Bootstrap bootstrap;

    /** Creates a connector whose connections are served by the given threads. */
    public EndpointConnector(NetworkThreads threads) {
        this.bootstrap =
                new Bootstrap()
                        .group(threads.group())
                        .channel(NioSocketChannel.class)
                        .option(
                                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                CONNECTING_TIMEOUT_MILLISECONDS)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.AUTO_READ, false)
                        .handler(new Initializer());
    }

    /** Opens a new connection. The result fails if the endpoint cannot be reached. */
    public CompletionStage<EndpointConnection> open(EndpointAddress address) {
        CompletableFuture<EndpointConnection> opened = new CompletableFuture<>();
        ChannelFuture connecting = bootstrap.connect(address.host(), address.port());
        connecting.addListener(
                done -> {
                    if (done.isSuccess()) {
                        opened.complete(
                                connecting.channel().pipeline().get(EndpointConnection.class));
                    } else {
                        opened.completeExceptionally(done.cause());
                    }
                });
        return opened;
    }

    /** Prepares the channel of a new connection. */
    private static final class Initializer extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel channel) {
            channel.pipeline().addLast(new HttpClientCodec(), new EndpointConnection(channel));
        }
    }
}
