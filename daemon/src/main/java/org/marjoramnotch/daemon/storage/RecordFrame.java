package org.marjoramnotch.daemon.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.util.Optional;
import java.util.zip.CRC32C;
import org.jspecify.annotations.Nullable;

/**
 * Frames a record in a file. A record consists of the length of its content, the checksum of its
 * content, the checksum of these two fields and the position of the record, and the content. The
 * header has its own checksum so that a damaged length is not mistaken for the end of the file.
 */
final class RecordFrame {
    static final int HEADER_BYTES = 12;
    private static final int CHECKED_HEADER_BYTES = 8;

    private RecordFrame() {}

    /** Writes a record at the channel's position. */
    static void write(FileChannel channel, byte[] content) throws IOException {
        ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);
        header.putInt(content.length).putInt(checksum(content));
        header.putInt(headerChecksum(header, channel.position())).flip();
        ByteBuffer[] parts = {header, ByteBuffer.wrap(content)};
        while (parts[0].hasRemaining() || parts[1].hasRemaining()) {
            channel.write(parts);
        }
    }

    /** Reads the record at a position; empty if there is no complete and intact one. */
    static Optional<byte[]> read(FileChannel channel, long position) throws IOException {
        byte[] header = readBytes(channel, position, HEADER_BYTES);
        if (header == null) {
            return Optional.empty();
        }
        ByteBuffer fields = ByteBuffer.wrap(header);
        int length = fields.getInt();
        int contentChecksum = fields.getInt();
        if (fields.getInt() != headerChecksum(fields, position)) {
            return Optional.empty();
        }
        byte[] content = readBytes(channel, position + HEADER_BYTES, length);
        if (content == null || checksum(content) != contentChecksum) {
            return Optional.empty();
        }
        return Optional.of(content);
    }

    private static byte @Nullable [] readBytes(FileChannel channel, long position, int length)
            throws IOException {
        if (length < 0 || position + length > channel.size()) {
            return null;
        }
        ByteBuffer buffer = ByteBuffer.allocate(length);
        while (buffer.hasRemaining()) {
            if (channel.read(buffer, position + buffer.position()) < 0) {
                return null;
            }
        }
        return buffer.array();
    }

    private static int headerChecksum(ByteBuffer header, long position) {
        ByteBuffer checked = ByteBuffer.allocate(CHECKED_HEADER_BYTES + Long.BYTES);
        checked.put(header.array(), 0, CHECKED_HEADER_BYTES).putLong(position);
        return checksum(checked.array());
    }

    private static int checksum(byte[] bytes) {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes, 0, bytes.length);
        return (int) checksum.getValue();
    }
}
