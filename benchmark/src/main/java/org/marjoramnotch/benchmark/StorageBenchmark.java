package org.marjoramnotch.benchmark;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;
import org.marjoramnotch.daemon.storage.FileReplicaStorage;
import org.marjoramnotch.logic.replication.RecoveredState;
import org.marjoramnotch.logic.replication.StorageWrite;
import org.marjoramnotch.model.replication.LogEntry;
import org.marjoramnotch.model.replication.Membership;
import org.marjoramnotch.model.replication.Snapshot;

/**
 * Measures commits per second with one sync for each batch, and the recovery time by log length.
 */
public final class StorageBenchmark {
    private static final int ENTRY_BYTES = 300;
    private static final int BATCHES = 300;
    private static final int[] BATCH_SIZES = {1, 8, 64, 256};
    private static final int[] LOG_LENGTHS = {1_000, 10_000, 100_000};
    private static final int ENTRIES_AFTER_SNAPSHOT = 500;
    private static final int STATE_BYTES = 1_000_000;
    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

    private StorageBenchmark() {}

    /** Prints one line for each batch size and log length. */
    public static void main(String[] arguments) throws IOException {
        for (int size : BATCH_SIZES) {
            measureCommits(size);
        }
        for (int length : LOG_LENGTHS) {
            measureRecovery(length, false);
            measureRecovery(length, true);
        }
    }

    private static void measureCommits(int size) throws IOException {
        Path folder = Files.createTempDirectory("marjoramnotch-bench");
        Histogram latency = new Histogram(3);
        long start = System.nanoTime();
        try (FileReplicaStorage storage = FileReplicaStorage.open(folder)) {
            storage.recover();
            for (int batch = 0; batch < BATCHES; batch++) {
                long before = System.nanoTime();
                storage.persist(List.of(append(1 + (long) batch * size, size)));
                latency.recordValue(System.nanoTime() - before);
            }
        }
        double seconds = (System.nanoTime() - start) / 1e9;
        System.out.printf(
                "batch=%d entries_per_second=%.0f sync_p50_ms=%.2f sync_p99_ms=%.2f%n",
                size,
                BATCHES * size / seconds,
                latency.getValueAtPercentile(50) / NANOSECONDS_PER_MILLISECOND,
                latency.getValueAtPercentile(99) / NANOSECONDS_PER_MILLISECOND);
        delete(folder);
    }

    private static void measureRecovery(int length, boolean withSnapshot) throws IOException {
        Path folder = Files.createTempDirectory("marjoramnotch-bench");
        try (FileReplicaStorage storage = FileReplicaStorage.open(folder)) {
            storage.recover();
            int batch = 1_000;
            for (int from = 1; from <= length; from += batch) {
                storage.persist(List.of(append(from, batch)));
            }
            if (withSnapshot) {
                int covered = length - ENTRIES_AFTER_SNAPSHOT;
                Snapshot snapshot =
                        new Snapshot(covered, 1, Membership.none(), new byte[STATE_BYTES]);
                storage.persist(
                        List.of(
                                new StorageWrite.SaveSnapshot(
                                        snapshot, entries(covered + 1, ENTRIES_AFTER_SNAPSHOT))));
            }
        }
        long bytes = size(folder);
        long start = System.nanoTime();
        try (FileReplicaStorage storage = FileReplicaStorage.open(folder)) {
            RecoveredState state = storage.recover();
            System.out.printf(
                    "log_entries=%d snapshot=%s stored_bytes=%d recovered_entries=%d"
                            + " recovery_ms=%.1f%n",
                    length,
                    withSnapshot,
                    bytes,
                    state.entries().size(),
                    (System.nanoTime() - start) / NANOSECONDS_PER_MILLISECOND);
        }
        delete(folder);
    }

    private static StorageWrite append(long firstIndex, int count) {
        return new StorageWrite.AppendLog(entries(firstIndex, count));
    }

    private static List<LogEntry> entries(long firstIndex, int count) {
        List<LogEntry> entries = new ArrayList<>();
        for (int offset = 0; offset < count; offset++) {
            entries.add(LogEntry.payload(firstIndex + offset, 1, new byte[ENTRY_BYTES]));
        }
        return entries;
    }

    private static long size(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            return files.filter(Files::isRegularFile)
                    .mapToLong(file -> file.toFile().length())
                    .sum();
        }
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path path : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }
}
