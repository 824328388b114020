package org.marjoramnotch.daemon.endpoint;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.daemon.transport.IncomingBody;

/**
 * An HTTP connection to an endpoint. An entry opens a new one for each request, since a reused
 * connection could deliver a late or duplicate answer of an earlier request as the answer of this
 * one, or could be dead without either side having noticed.
 */
public final class EndpointConnection extends ChannelInboundHandlerAdapter {
    private final Channel channel;
    private @Nullable CompletableFuture<EndpointResponse> awaited;
    private @Nullable IncomingBody body;
    private volatile boolean reusable = true;

    EndpointConnection(Channel channel) {
        this.channel = channel;
    }

    /**
     * Sends the request over the connection. From this call on the request may have been sent.
     *
     * @return the response, or a failure if the connection ended before it
     */
    public CompletionStage<EndpointResponse> exchange(EndpointRequest request) {
        CompletableFuture<EndpointResponse> response = new CompletableFuture<>();
        channel.eventLoop().execute(() -> send(request, response));
        return response;
    }

    /** Returns whether the connection is open and may be used for another request. */
    public boolean isReusable() {
        return reusable && channel.isActive();
    }

    /** Closes the connection immediately. */
    public void close() {
        channel.close();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        CompletableFuture<EndpointResponse> response = awaited;
        if (message instanceof HttpResponse head && response != null) {
            if (!HttpResponses.isInformational(head)) {
                onHead(head, response);
            }
        } else if (message instanceof HttpContent content && body != null && !body.hasArrived()) {
            body.add(content);
            return;
        } else if (message instanceof HttpResponse) {
            // It answers no request of this connection.
            channel.close();
        }
        ReferenceCountUtil.release(message);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        IncomingBody present = body;
        // An idle connection is read as well, to notice its end.
        if (present == null || present.isTaken() || present.wantsContent()) {
            channel.read();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail(new IOException("The connection to the endpoint was closed before the response."));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(cause);
        channel.close();
    }

    private void send(EndpointRequest request, CompletableFuture<EndpointResponse> response) {
        if (!channel.isActive() || awaited != null) {
            response.completeExceptionally(new IOException("The connection is not usable."));
            channel.close();
            return;
        }
        awaited = response;
        body = null;
        DefaultFullHttpRequest message =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.valueOf(request.method()),
                        request.target(),
                        Unpooled.wrappedBuffer(request.body()));
        request.headers().forEach(header -> message.headers().add(header.name(), header.value()));
        if (request.body().length > 0 || request.method().equals("POST")) {
            message.headers().set("Content-Length", request.body().length);
        }
        channel.writeAndFlush(message)
                .addListener(
                        written -> {
                            if (!written.isSuccess()) {
                                fail(written.cause());
                                channel.close();
                            }
                        });
        channel.read();
    }

    private void onHead(HttpResponse head, CompletableFuture<EndpointResponse> response) {
        awaited = null;
        if (head.decoderResult().isFailure()) {
            response.completeExceptionally(head.decoderResult().cause());
            channel.close();
            return;
        }
        IncomingBody arriving = new IncomingBody(channel, () -> {});
        body = arriving;
        EndpointResponse answer = new EndpointResponse(head, arriving);
        reusable = answer.keepsConnection();
        response.complete(answer);
    }

    private void fail(Throwable cause) {
        CompletableFuture<EndpointResponse> response = awaited;
        awaited = null;
        if (response != null) {
            response.completeExceptionally(cause);
        }
        IncomingBody present = body;
        if (present != null) {
            present.fail(cause);
        }
    }
}
