package org.marjoramnotch.daemon.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.marjoramnotch.logic.replication.StorageWrite;

/** The file that holds the identity of the replica, which is drawn with the data folder. */
final class IdentityFile {
    private IdentityFile() {}

    /**
     * Reads the identity or creates it. The first log is created before the identity, so that a log
     * that is missing later indicates damage, and an identity is never without its first writes.
     */
    static String readOrCreate(
            StorageFolder folder,
            StorageCodec codec,
            String newIdentity,
            List<StorageWrite> firstWrites)
            throws IOException {
        Path path = folder.identity();
        if (Files.exists(path)) {
            String storedIdentity = Files.readString(path).strip();
            if (storedIdentity.isEmpty()) {
                throw StorageErrors.damaged(path, "the file is empty");
            }
            return storedIdentity;
        }
        if (folder.latestSnapshot().isPresent()) {
            throw StorageErrors.damaged(path, "the file is missing");
        }
        try (LogSegment log = LogSegment.create(folder.opener(), folder.log(0), codec)) {
            if (!firstWrites.isEmpty()) {
                log.append(new StoredBatch(firstWrites));
            }
        }
        ByteBuffer content =
                ByteBuffer.wrap((newIdentity + "\n").getBytes(StandardCharsets.US_ASCII));
        folder.writeAtomically(
                path,
                channel -> {
                    while (content.hasRemaining()) {
                        channel.write(content);
                    }
                });
        return newIdentity;
    }
}
