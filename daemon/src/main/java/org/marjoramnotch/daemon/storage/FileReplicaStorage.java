package org.marjoramnotch.daemon.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.logic.replication.HardState;
import org.marjoramnotch.logic.replication.RecoveredState;
import org.marjoramnotch.logic.replication.ReplicaStorage;
import org.marjoramnotch.logic.replication.StorageWrite;
import org.marjoramnotch.model.error.Invariant;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.replication.Snapshot;

/**
 * Stores a replica's state in one data folder, which it locks. The state consists of a snapshot and
 * the log file of the same generation. A new snapshot starts a new generation, which takes effect
 * when the file of the snapshot is renamed to its final name. This class is not thread-safe.
 */
public final class FileReplicaStorage implements ReplicaStorage, Closeable {
    private final StorageFolder folder;
    private final StorageCodec codec = new StorageCodec();
    private final String identity;
    private long generation;
    private HardState hardState = HardState.empty();
    private @Nullable LogSegment log;
    private boolean failed;

    private FileReplicaStorage(
            StorageFolder folder, String newIdentity, List<StorageWrite> firstWrites)
            throws IOException {
        this.folder = folder;
        this.identity = IdentityFile.readOrCreate(folder, codec, newIdentity, firstWrites);
    }

    /**
     * Opens a data folder, and creates it with a new identity if it is missing or empty.
     *
     * @throws org.marjoramnotch.model.error.MarjoramnotchException with code {@code STORAGE_FAILED}
     *     if it cannot be used or another process uses it
     */
    public static FileReplicaStorage open(Path path) {
        return open(path, UUID.randomUUID().toString(), List.of());
    }

    /**
     * Opens a data folder, and creates it with the given identity and first writes if it is missing
     * or empty. The identity is stored last, so that it is never without the first writes.
     *
     * @throws org.marjoramnotch.model.error.MarjoramnotchException with code {@code STORAGE_FAILED}
     *     if it cannot be used or another process uses it
     */
    public static FileReplicaStorage open(
            Path path, String newIdentity, List<StorageWrite> firstWrites) {
        return open(path, newIdentity, firstWrites, FileChannel::open);
    }

    /** Opens a data folder with the given file opener, by which tests can inject faults. */
    public static FileReplicaStorage open(Path path, String newIdentity, FileOpener files) {
        return open(path, newIdentity, List.of(), files);
    }

    private static FileReplicaStorage open(
            Path path, String newIdentity, List<StorageWrite> firstWrites, FileOpener files) {
        try {
            StorageFolder folder = StorageFolder.open(path, files);
            try {
                return new FileReplicaStorage(folder, newIdentity, firstWrites);
            } catch (IOException | MarjoramnotchException e) {
                folder.close();
                throw e;
            }
        } catch (IOException e) {
            throw StorageErrors.failed(path, e);
        }
    }

    /**
     * Renames the files of a damaged state, so that the folder is next opened like that of a lost
     * disk, under a new identity.
     *
     * @throws org.marjoramnotch.model.error.MarjoramnotchException with code {@code STORAGE_FAILED}
     */
    public static void renameDamagedState(Path path) {
        try (StorageFolder folder = StorageFolder.open(path, FileChannel::open)) {
            folder.renameDamagedState();
        } catch (IOException e) {
            throw StorageErrors.failed(path, e);
        }
    }

    /** Returns the identity that was generated when the folder was created. */
    public String identity() {
        return identity;
    }

    @Override
    public RecoveredState recover() {
        Invariant.check(log == null, "Storage is recovered a second time");
        return readState();
    }

    /**
     * Makes storage usable again after a failed write, once the disk accepts writes.
     *
     * @return the stored state; of the failed write it contains only what was synced
     * @throws org.marjoramnotch.model.error.MarjoramnotchException with code {@code STORAGE_FAILED}
     *     while the disk refuses writes; the method may then be called again
     */
    public RecoveredState reopen() {
        Invariant.check(failed, "Storage is reopened although no write has failed");
        try {
            LogSegment previousLog = log;
            if (previousLog != null) {
                previousLog.discardUnsynced();
                if (isLatestGeneration()) {
                    // An unfinished generation may hold the space that the next write needs.
                    folder.deleteOtherGenerations(generation);
                    checkWrites(previousLog);
                }
                // A file that fails to close is closed, too, so that it can't be used again.
                log = null;
                previousLog.close();
            }
            RecoveredState recovered = readState();
            failed = false;
            return recovered;
        } catch (IOException e) {
            throw StorageErrors.failed(folder.path(), e);
        }
    }

    @Override
    public void persist(List<StorageWrite> writes) {
        Invariant.check(
                log != null && !failed,
                "Storage is written before recovery or after a failed write");
        failed = true;
        try {
            List<StorageWrite> batch = new ArrayList<>();
            for (StorageWrite write : writes) {
                if (write instanceof StorageWrite.SaveSnapshot save) {
                    append(batch);
                    batch.clear();
                    startGeneration(save);
                } else {
                    batch.add(write);
                }
            }
            append(batch);
        } catch (IOException e) {
            discardUnsynced(e);
            throw StorageErrors.failed(folder.path(), e);
        }
        failed = false;
    }

    @Override
    public void close() {
        try {
            if (log != null) {
                log.close();
            }
            folder.close();
        } catch (IOException e) {
            throw StorageErrors.failed(folder.path(), e);
        }
    }

    /** Returns false if a new generation took effect although its start was reported as failed. */
    private boolean isLatestGeneration() throws IOException {
        return folder.latestSnapshot().orElse(0) == generation;
    }

    /** Checks that the disk accepts writes before the whole state is read again. */
    private void checkWrites(LogSegment written) throws IOException {
        written.append(new StoredBatch(List.of(new StorageWrite.SaveHardState(hardState))));
    }

    private RecoveredState readState() {
        try {
            OptionalLong latest = folder.latestSnapshot();
            generation = latest.orElse(0);
            Snapshot snapshot = latest.isPresent() ? readSnapshot() : null;
            Path logPath = folder.log(generation);
            if (!Files.exists(logPath)) {
                throw StorageErrors.damaged(logPath, "the file is missing");
            }
            StoredState state = new StoredState(snapshot);
            log = readLog(logPath, state);
            RecoveredState recovered = state.toRecoveredState();
            hardState = recovered.hardState();
            return recovered;
        } catch (IOException e) {
            throw StorageErrors.failed(folder.path(), e);
        }
    }

    private LogSegment readLog(Path path, StoredState state) throws IOException {
        LogSegment opened = LogSegment.open(folder.opener(), path, codec);
        try {
            opened.readAll().forEach(batch -> batch.writes().forEach(state::apply));
            // The generation may have taken effect by a rename that was not synced.
            folder.sync();
            folder.deleteOtherGenerations(generation);
            return opened;
        } catch (IOException | MarjoramnotchException e) {
            opened.close();
            throw e;
        }
    }

    /**
     * Truncates the log at once, so that the next process does not treat unsynced writes as stored.
     */
    private void discardUnsynced(IOException failure) {
        try {
            currentLog().discardUnsynced();
        } catch (IOException again) {
            failure.addSuppressed(again);
        }
    }

    private void append(List<StorageWrite> batch) throws IOException {
        if (batch.isEmpty()) {
            return;
        }
        currentLog().append(new StoredBatch(batch));
        for (StorageWrite write : batch) {
            if (write instanceof StorageWrite.SaveHardState save) {
                hardState = save.state();
            }
        }
    }

    /** Writes the new log before the snapshot, whose rename makes both take effect. */
    private void startGeneration(StorageWrite.SaveSnapshot save) throws IOException {
        long next = generation + 1;
        LogSegment nextLog = LogSegment.create(folder.opener(), folder.log(next), codec);
        try {
            fillGeneration(next, nextLog, save);
        } catch (IOException e) {
            nextLog.close();
            throw e;
        }
        LogSegment previousLog = currentLog();
        log = nextLog;
        generation = next;
        previousLog.close();
        folder.deleteOtherGenerations(generation);
    }

    private void fillGeneration(long next, LogSegment nextLog, StorageWrite.SaveSnapshot save)
            throws IOException {
        List<StorageWrite> first = new ArrayList<>();
        first.add(new StorageWrite.SaveHardState(hardState));
        if (!save.retained().isEmpty()) {
            first.add(new StorageWrite.AppendLog(save.retained()));
        }
        nextLog.append(new StoredBatch(first));
        folder.sync();
        Snapshot snapshot = save.snapshot();
        byte[] header = codec.encode(SnapshotHeader.of(snapshot));
        folder.writeAtomically(
                folder.snapshot(next),
                channel -> {
                    RecordFrame.write(channel, header);
                    RecordFrame.write(channel, snapshot.state());
                });
    }

    private Snapshot readSnapshot() throws IOException {
        Path path = folder.snapshot(generation);
        try (FileChannel channel = folder.opener().open(path, StandardOpenOption.READ)) {
            Optional<byte[]> header = RecordFrame.read(channel, 0);
            long statePosition =
                    RecordFrame.HEADER_BYTES + header.map(bytes -> bytes.length).orElse(0);
            Optional<byte[]> state = RecordFrame.read(channel, statePosition);
            if (header.isEmpty() || state.isEmpty()) {
                throw StorageErrors.damaged(path, "a checksum is wrong");
            }
            return codec.decode(header.get(), SnapshotHeader.class).withState(state.get());
        }
    }

    private LogSegment currentLog() {
        return Objects.requireNonNull(log);
    }
}
