package org.marjoramnotch.daemon.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * The data folder: names its files, replaces them atomically and locks the folder for one process.
 */
final class StorageFolder implements Closeable {
    private static final String LOG_PREFIX = "log-";
    private static final String SNAPSHOT_PREFIX = "snapshot-";
    private static final Pattern SNAPSHOT_NAME = Pattern.compile(SNAPSHOT_PREFIX + "(\\d{1,18})");
    private static final String DAMAGED_PREFIX = "damaged-";
    private static final String TEMPORARY_SUFFIX = ".temporary";

    /** Writes the content of a new file. */
    @FunctionalInterface
    interface ContentWriter {
        void writeTo(FileChannel channel) throws IOException;
    }

    private final Path folder;
    private final FileOpener files;
    private final FileChannel lockChannel;

    private StorageFolder(Path folder, FileOpener files, FileChannel lockChannel) {
        this.files = files;
        this.folder = folder;
        this.lockChannel = lockChannel;
    }

    /**
     * Opens and locks the folder. A missing folder is created durably, so that it survives a power
     * failure.
     */
    static StorageFolder open(Path path, FileOpener files) throws IOException {
        Path folder = path.toAbsolutePath();
        createDurably(files, folder);
        FileChannel channel =
                files.open(
                        folder.resolve("lock"),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE);
        if (lock(channel) == null) {
            channel.close();
            throw StorageErrors.locked(folder);
        }
        return new StorageFolder(folder, files, channel);
    }

    FileOpener opener() {
        return files;
    }

    Path path() {
        return folder;
    }

    Path identity() {
        return folder.resolve("identity");
    }

    Path log(long generation) {
        return folder.resolve(LOG_PREFIX + generation);
    }

    Path snapshot(long generation) {
        return folder.resolve(SNAPSHOT_PREFIX + generation);
    }

    /** Returns the highest generation that has a snapshot. */
    OptionalLong latestSnapshot() throws IOException {
        return files().stream()
                .map(file -> SNAPSHOT_NAME.matcher(file.getFileName().toString()))
                .filter(Matcher::matches)
                .mapToLong(name -> Long.parseLong(name.group(1)))
                .max();
    }

    /** Deletes the files of other generations and unfinished files. */
    void deleteOtherGenerations(long generation) throws IOException {
        for (Path file : files()) {
            String name = file.getFileName().toString();
            boolean generated = name.startsWith(LOG_PREFIX) || name.startsWith(SNAPSHOT_PREFIX);
            boolean kept = file.equals(log(generation)) || file.equals(snapshot(generation));
            if (name.endsWith(TEMPORARY_SUFFIX) || (generated && !kept)) {
                Files.delete(file);
            }
        }
    }

    /**
     * Renames all files of the state, so that the folder is treated as empty and no data is lost.
     */
    void renameDamagedState() throws IOException {
        for (Path file : files()) {
            String name = file.getFileName().toString();
            boolean state =
                    name.startsWith(LOG_PREFIX)
                            || name.startsWith(SNAPSHOT_PREFIX)
                            || file.equals(identity());
            if (state) {
                Files.move(
                        file,
                        folder.resolve(DAMAGED_PREFIX + name),
                        StandardCopyOption.REPLACE_EXISTING,
                        StandardCopyOption.ATOMIC_MOVE);
            }
        }
        sync();
    }

    /** Writes a file so that it is complete or absent, even after a power failure. */
    void writeAtomically(Path file, ContentWriter content) throws IOException {
        Path temporary = file.resolveSibling(file.getFileName() + TEMPORARY_SUFFIX);
        try (FileChannel channel =
                files.open(
                        temporary,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.TRUNCATE_EXISTING,
                        StandardOpenOption.WRITE)) {
            content.writeTo(channel);
            channel.force(true);
        }
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
        sync();
    }

    /** Syncs the folder, so that created, renamed and deleted file names are durable. */
    void sync() throws IOException {
        sync(files, folder);
    }

    @Override
    public void close() throws IOException {
        lockChannel.close();
    }

    private static void createDurably(FileOpener files, Path folder) throws IOException {
        Path parent = folder.getParent();
        if (Files.isDirectory(folder) || parent == null) {
            return;
        }
        createDurably(files, parent);
        Files.createDirectory(folder);
        sync(files, parent);
    }

    private static void sync(FileOpener files, Path directory) throws IOException {
        try (FileChannel channel = files.open(directory, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    private List<Path> files() throws IOException {
        List<Path> found = new ArrayList<>();
        try (DirectoryStream<Path> stream = Files.newDirectoryStream(folder)) {
            stream.forEach(found::add);
        }
        return found;
    }

    private static @Nullable FileLock lock(FileChannel channel) throws IOException {
        try {
            return channel.tryLock();
        } catch (OverlappingFileLockException e) {
            return null;
        }
    }
}
