package org.marjoramnotch.daemon.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** An append-only file of records, each of which is one synced batch of writes. */
final class LogSegment implements Closeable {
    private final Path path;
    private final FileChannel channel;
    private final StorageCodec codec;
    private long syncedBytes;

    private LogSegment(Path path, FileChannel channel, StorageCodec codec) {
        this.path = path;
        this.channel = channel;
        this.codec = codec;
    }

    static LogSegment create(FileOpener files, Path path, StorageCodec codec) throws IOException {
        FileChannel channel =
                files.open(
                        path,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.TRUNCATE_EXISTING,
                        StandardOpenOption.READ,
                        StandardOpenOption.WRITE);
        channel.force(true);
        return new LogSegment(path, channel, codec);
    }

    static LogSegment open(FileOpener files, Path path, StorageCodec codec) throws IOException {
        FileChannel channel = files.open(path, StandardOpenOption.READ, StandardOpenOption.WRITE);
        return new LogSegment(path, channel, codec);
    }

    /** Appends a batch and syncs it. */
    void append(StoredBatch batch) throws IOException {
        RecordFrame.write(channel, codec.encode(batch));
        channel.force(false);
        syncedBytes = channel.position();
    }

    /**
     * Truncates the file to the synced length, which removes what the last append may have left.
     * After a failed sync the operating system may treat written bytes as stored, so that a later
     * sync would not store them; they must be written again instead.
     */
    void discardUnsynced() throws IOException {
        channel.truncate(syncedBytes);
        channel.position(syncedBytes);
        channel.force(true);
    }

    /**
     * Reads all batches, truncates a last one that was not written completely, and syncs the
     * others: the last of them may have been written by a process that ended before its sync.
     *
     * @throws org.marjoramnotch.model.error.MarjoramnotchException with code {@code
     *     STORAGE_DAMAGED} if an intact record follows a damaged one
     */
    List<StoredBatch> readAll() throws IOException {
        List<StoredBatch> batches = new ArrayList<>();
        long position = 0;
        while (position < channel.size()) {
            Optional<byte[]> content = RecordFrame.read(channel, position);
            if (content.isEmpty()) {
                truncateTornRecord(position);
                break;
            }
            batches.add(codec.decode(content.get(), StoredBatch.class));
            position += RecordFrame.HEADER_BYTES + content.get().length;
        }
        channel.position(position);
        channel.force(true);
        syncedBytes = position;
        return batches;
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }

    /**
     * Truncates a damaged last record. Only the last record can be unsynced; an intact record after
     * a damaged one means that stored state was lost.
     */
    private void truncateTornRecord(long position) throws IOException {
        for (long later = position + 1; later < channel.size(); later++) {
            if (RecordFrame.read(channel, later).isPresent()) {
                throw StorageErrors.damaged(
                        path, "the record at byte " + position + " has a wrong checksum");
            }
        }
        channel.truncate(position);
    }
}
