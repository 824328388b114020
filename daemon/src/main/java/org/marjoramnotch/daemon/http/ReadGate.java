package org.marjoramnotch.daemon.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;

/** Reads from the socket only once all that has arrived before is decoded. */
final class ReadGate extends ChannelOutboundHandlerAdapter {
    private final RequestDecoder decoder;
    private boolean scheduled;

    ReadGate(RequestDecoder decoder) {
        this.decoder = decoder;
    }

    @Override
    public void read(ChannelHandlerContext context) {
        if (!decoder.hasUndecoded()) {
            context.read();
        } else if (!scheduled) {
            scheduled = true;
            // Not at once, since the decoder may be passing on a message now.
            context.executor().execute(() -> decodeNext(context));
        }
    }

    private void decodeNext(ChannelHandlerContext context) {
        scheduled = false;
        try {
            if (decoder.hasUndecoded()) {
                decoder.decodeNext();
            } else if (context.channel().isActive()) {
                context.read();
            }
        } catch (Exception failure) {
            context.fireExceptionCaught(failure);
        }
    }
}
