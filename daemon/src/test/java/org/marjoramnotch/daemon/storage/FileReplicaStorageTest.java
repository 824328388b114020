package org.marjoramnotch.daemon.storage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.assertj.core.api.ThrowableAssert.ThrowingCallable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramnotch.logic.replication.FoundingEntry;
import org.marjoramnotch.logic.replication.HardState;
import org.marjoramnotch.logic.replication.RecoveredState;
import org.marjoramnotch.logic.replication.StorageWrite;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.replication.LogEntry;
import org.marjoramnotch.model.replication.Membership;
import org.marjoramnotch.model.replication.Snapshot;

class FileReplicaStorageTest {
    private static final ReplicaId SELF = new ReplicaId(new VmId("vm-1"), "one");
    private static final HardState HARD_STATE =
            new HardState(3, Optional.of(SELF), Optional.of("group"));
    private static final Membership MEMBERSHIP =
            Membership.formedBy(SELF).withLearner(new ReplicaId(new VmId("vm-2"), "two"));
    private static final Snapshot SNAPSHOT =
            new Snapshot(2, 3, MEMBERSHIP, "state".getBytes(StandardCharsets.UTF_8));

    private static final List<StorageWrite> FOUNDING = FoundingEntry.writes(List.of(SELF));

    @TempDir private Path folder;

    @Test
    void everyKindOfWriteSurvivesRestart() {
        write(
                List.of(new StorageWrite.SaveHardState(HARD_STATE), append(1, 2, 3)),
                List.of(new StorageWrite.TruncateLog(3), append(3, 4)));
        assertRecovered(new RecoveredState(HARD_STATE, Optional.empty(), entries(1, 2, 3, 4)));
    }

    @Test
    void snapshotReplacesLogUpToItsIndex() throws IOException {
        write(
                List.of(new StorageWrite.SaveHardState(HARD_STATE), append(1, 2, 3)),
                List.of(
                        append(4),
                        new StorageWrite.SaveSnapshot(SNAPSHOT, entries(3, 4)),
                        append(5)));
        Files.writeString(folder.resolve("log-0"), "left by a death before its deletion");
        assertRecovered(new RecoveredState(HARD_STATE, Optional.of(SNAPSHOT), entries(3, 4, 5)));
        assertThat(folder.toFile().list())
                .containsExactlyInAnyOrder("identity", "lock", "log-1", "snapshot-1");
    }

    @Test
    void unfinishedSnapshotIsDiscarded() throws IOException {
        write(List.of(append(1, 2)));
        Files.writeString(folder.resolve("log-1"), "part");
        Files.writeString(folder.resolve("snapshot-1.temporary"), "part");
        assertRecovered(new RecoveredState(HardState.empty(), Optional.empty(), entries(1, 2)));
        assertThat(folder.toFile().list()).containsExactlyInAnyOrder("identity", "lock", "log-0");
    }

    @Test
    void lastRecordTornAtAnyByteIsTruncated() throws IOException {
        write(List.of(new StorageWrite.SaveHardState(HARD_STATE)), List.of(append(1, 2)));
        long first = Files.size(folder.resolve("log-0"));
        write(List.of(append(3)));
        byte[] intact = Files.readAllBytes(folder.resolve("log-0"));
        RecoveredState expected = new RecoveredState(HARD_STATE, Optional.empty(), entries(1, 2));
        for (int length = (int) first; length < intact.length; length++) {
            Files.write(folder.resolve("log-0"), Arrays.copyOf(intact, length));
            assertRecovered(expected);
            byte[] zeroFilled = Arrays.copyOf(Arrays.copyOf(intact, length), intact.length);
            if (!Arrays.equals(zeroFilled, intact)) {
                Files.write(folder.resolve("log-0"), zeroFilled);
                assertRecovered(expected);
            }
        }
        write(List.of(append(3, 4)));
        assertRecovered(new RecoveredState(HARD_STATE, Optional.empty(), entries(1, 2, 3, 4)));
    }

    @Test
    void damageOfEarlierRecordIsDetectedAtAnyByte() throws IOException {
        write(List.of(append(1, 2)));
        int first = (int) Files.size(folder.resolve("log-0"));
        write(List.of(append(3)));
        byte[] intact = Files.readAllBytes(folder.resolve("log-0"));
        for (int position = 0; position < first; position++) {
            byte[] damaged = intact.clone();
            damaged[position] ^= 0x10;
            Files.write(folder.resolve("log-0"), damaged);
            assertDamaged();
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"log-1", "snapshot-1"})
    void missingOrDamagedFileIsDetected(String name) throws IOException {
        write(List.of(append(1, 2), new StorageWrite.SaveSnapshot(SNAPSHOT, List.of())));
        byte[] intact = Files.readAllBytes(folder.resolve(name));
        Files.delete(folder.resolve(name));
        assertDamaged();
        if (name.startsWith("snapshot")) {
            intact[intact.length - 1] ^= 1;
            Files.write(folder.resolve(name), intact);
            assertDamaged();
        }
    }

    @Test
    void damagedStateIsRenamedAndFolderGetsNewIdentity() throws IOException {
        String former = openAndClose();
        write(List.of(append(1, 2)), List.of(append(3)));
        byte[] damaged = Files.readAllBytes(folder.resolve("log-0"));
        damaged[damaged.length / 2] ^= 1;
        Files.write(folder.resolve("log-0"), damaged);

        FileReplicaStorage.renameDamagedState(folder);

        assertRecovered(RecoveredState.empty());
        assertThat(openAndClose()).isNotEqualTo(former);
        assertThat(Files.readAllBytes(folder.resolve("damaged-log-0"))).isEqualTo(damaged);
    }

    @Test
    void identityIsGeneratedOnce() {
        String identity = openAndClose();
        assertThat(openAndClose()).isEqualTo(identity);
    }

    /** Guards against a founder that ends before it has stored that it is one. */
    @Test
    void identityOfFounderImpliesItsFoundingEntry() {
        FileReplicaStorage.open(folder, SELF.identity(), FOUNDING).close();
        try (FileReplicaStorage restarted = FileReplicaStorage.open(folder)) {
            RecoveredState recovered = restarted.recover();
            assertThat(restarted.identity()).isEqualTo(SELF.identity());
            assertThat(recovered.entries()).hasSize(1);
            assertThat(recovered.hardState().group()).isPresent();
        }
    }

    @Test
    void firstWritesWithoutIdentityAreDropped() throws IOException {
        FileReplicaStorage.open(folder, SELF.identity(), FOUNDING).close();
        Files.delete(folder.resolve("identity"));
        assertRecovered(RecoveredState.empty());
    }

    @Test
    void secondProcessIsRefused() {
        try (FileReplicaStorage first = FileReplicaStorage.open(folder)) {
            assertThat(first.identity()).isNotEmpty();
            assertCode(ErrorCode.STORAGE_FAILED, () -> FileReplicaStorage.open(folder));
        }
        assertThat(openAndClose()).isNotEmpty();
    }

    @Test
    void storageIsUnusableAfterFailedWrite() throws IOException {
        try (FileReplicaStorage storage = FileReplicaStorage.open(folder)) {
            storage.recover();
            Files.createDirectories(folder.resolve("snapshot-1.temporary"));
            StorageWrite snapshot = new StorageWrite.SaveSnapshot(SNAPSHOT, List.of());
            assertCode(ErrorCode.STORAGE_FAILED, () -> storage.persist(List.of(snapshot)));
            assertCode(ErrorCode.INVARIANT_VIOLATED, () -> storage.persist(List.of(append(1))));
        }
    }

    @SafeVarargs
    private void write(List<StorageWrite>... batches) {
        try (FileReplicaStorage storage = FileReplicaStorage.open(folder)) {
            storage.recover();
            for (List<StorageWrite> batch : batches) {
                storage.persist(batch);
            }
        }
    }

    private String openAndClose() {
        try (FileReplicaStorage storage = FileReplicaStorage.open(folder)) {
            return storage.identity();
        }
    }

    private void assertRecovered(RecoveredState expected) {
        try (FileReplicaStorage storage = FileReplicaStorage.open(folder)) {
            assertThat(storage.recover()).usingRecursiveComparison().isEqualTo(expected);
        }
    }

    private void assertDamaged() {
        try (FileReplicaStorage storage = FileReplicaStorage.open(folder)) {
            assertCode(ErrorCode.STORAGE_DAMAGED, storage::recover);
        }
    }

    private static void assertCode(ErrorCode code, ThrowingCallable action) {
        assertThatThrownBy(action)
                .isInstanceOfSatisfying(
                        MarjoramnotchException.class,
                        error -> assertThat(error.code()).isEqualTo(code));
    }

    private static StorageWrite append(long... indexes) {
        return new StorageWrite.AppendLog(entries(indexes));
    }

    private static List<LogEntry> entries(long... indexes) {
        return Arrays.stream(indexes)
                .mapToObj(
                        index ->
                                index == 1
                                        ? LogEntry.membership(index, 3, MEMBERSHIP)
                                        : LogEntry.payload(index, 3, new byte[] {1, 2}))
                .toList();
    }
}
