package org.marjoramnotch.daemon.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.util.Optional;
import java.util.zip.CRC32C;
import org.jspecify.annotations.Nullable;

/**
 * Frames a record in a file: its length, the checksum of its content, the checksum of these two,
 * the content. The header has a checksum of its own so that a damaged length is not taken for the
 * end of the file.
 */
final class RecordFrame {
    static final int HEADER_BYTES = 12;
    private static final int CHECKED_HEADER_BYTES = 8;

    private RecordFrame() {}

    /** Writes a record at the channel's position. */
    static void write(FileChannel channel, byte[] content) throws IOException {
        ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);
        header.putInt(content.length).putInt(checksum(content, 0, content.length));
        header.putInt(checksum(header.array(), 0, CHECKED_HEADER_BYTES)).flip();
        ByteBuffer[] parts = {header, ByteBuffer.wrap(content)};
        while (parts[0].hasRemaining() || parts[1].hasRemaining()) {
            channel.write(parts);
        }
    }

    /** Reads the record at a position; empty if there is no whole and undamaged one. */
    static Optional<byte[]> read(FileChannel channel, long position) throws IOException {
        byte[] header = readBytes(channel, position, HEADER_BYTES);
        if (header == null) {
            return Optional.empty();
        }
        ByteBuffer fields = ByteBuffer.wrap(header);
        int length = fields.getInt();
        int contentChecksum = fields.getInt();
        if (fields.getInt() != checksum(header, 0, CHECKED_HEADER_BYTES)) {
            return Optional.empty();
        }
        byte[] content = readBytes(channel, position + HEADER_BYTES, length);
        if (content == null || checksum(content, 0, length) != contentChecksum) {
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

    private static int checksum(byte[] bytes, int offset, int length) {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes, offset, length);
        return (int) checksum.getValue();
    }
}
