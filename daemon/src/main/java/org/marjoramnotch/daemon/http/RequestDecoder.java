package org.marjoramnotch.daemon.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Decodes one message each time it is asked to. What a client has sent ahead stays in the bytes in
 * which it arrived, since short requests and header lines take many times as much memory as
 * objects.
 */
final class RequestDecoder extends HttpRequestDecoder {
    /**
     * Memory of a header besides its text, estimated from the fields of its entry, two strings and
     * their arrays.
     */
    static final int HEADER_BYTES = 160;

    private static final int MAXIMUM_LINE_BYTES = 8_192;
    private static final int MAXIMUM_HEAD_BYTES = 32_768;
    private static final byte LINE_FEED = '\n';
    private static final byte DELETE = 0x7f;

    /** The longest end of a line: a carriage return and a line feed. */
    private static final int LINE_END_BYTES = 2;

    private final int maximumLines;
    private final int maximumEmptyBytes;
    private @Nullable ChannelHandlerContext context;
    private @Nullable ClientRefusal refusal;
    private boolean inBody;

    /** Bytes and lines of the unfinished head or trailers. */
    private int bytes;

    private int lines;
    private int emptyBytes;
    private long headBytes;

    RequestDecoder(ClientLimits limits) {
        super(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(MAXIMUM_LINE_BYTES)
                        .setMaxHeaderSize(MAXIMUM_HEAD_BYTES));
        // The first line of a request is a line as well.
        maximumLines = limits.headerLines() + 1;
        maximumEmptyBytes = LINE_END_BYTES * limits.emptyLines();
        setSingleDecode(true);
    }

    /** Returns the memory of what has arrived and is not decoded, or is part of an open head. */
    long keptBytes() {
        long buffered = hasUndecoded() ? internalBuffer().capacity() : 0;
        return buffered + bytes + (long) lines * HEADER_BYTES;
    }

    /** Returns the memory of the last head that was decoded. */
    long headBytes() {
        return headBytes;
    }

    /** Returns whether bytes have arrived that are not decoded. */
    boolean hasUndecoded() {
        return actualReadableBytes() > 0;
    }

    /** Returns whether a part of a request has arrived that was not passed on. */
    boolean hasPartialRequest() {
        return bytes > 0 || hasUndecoded();
    }

    /** Returns why nothing more is decoded. */
    @Nullable ClientRefusal refusal() {
        return refusal;
    }

    /** Decodes the next message from the bytes that have arrived, or reads if they hold none. */
    void decodeNext() throws Exception {
        ChannelHandlerContext present = context;
        if (present != null && !present.isRemoved()) {
            channelRead(present, Unpooled.EMPTY_BUFFER);
            channelReadComplete(present);
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) throws Exception {
        context = added;
        super.handlerAdded(added);
    }

    @Override
    protected void decode(ChannelHandlerContext present, ByteBuf buffer, List<Object> out)
            throws Exception {
        if (refusal != null) {
            buffer.skipBytes(buffer.readableBytes());
            return;
        }
        int begin = buffer.readerIndex();
        super.decode(present, buffer, out);
        if (out.isEmpty()) {
            countUnfinished(buffer, begin, buffer.readerIndex() - begin);
        } else {
            onDecoded(out, buffer.readerIndex() - begin);
        }
    }

    private void onDecoded(List<Object> out, int length) {
        if (out.get(0) instanceof HttpMessage head) {
            int headers = head.headers().size();
            headBytes = bytes + length + (long) headers * HEADER_BYTES;
            if (headers >= maximumLines) {
                refusal = ClientRefusal.HEADER_LINES;
                out.clear();
            }
        }
        bytes = 0;
        lines = 0;
        emptyBytes = 0;
        inBody = !(out.isEmpty() || out.get(out.size() - 1) instanceof LastHttpContent);
    }

    /**
     * Returns whether the decoder skips a byte before a request: a space or a control character.
     */
    private static boolean isSkipped(byte value) {
        return value <= ' ' || value == DELETE;
    }

    private void countUnfinished(ByteBuf buffer, int begin, int length) {
        int text = buffer.forEachByte(begin, length, RequestDecoder::isSkipped);
        if (!inBody && bytes == 0 && text < 0) {
            emptyBytes += length;
            if (emptyBytes > maximumEmptyBytes) {
                refusal = ClientRefusal.EMPTY_LINES;
            }
            return;
        }
        bytes += length;
        int end = begin + length;
        int next = buffer.indexOf(begin, end, LINE_FEED);
        while (next >= 0) {
            lines++;
            next = buffer.indexOf(next + 1, end, LINE_FEED);
        }
        if (lines > maximumLines) {
            refusal = ClientRefusal.HEADER_LINES;
        }
    }
}
