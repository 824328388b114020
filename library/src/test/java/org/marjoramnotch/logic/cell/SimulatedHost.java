package org.marjoramnotch.logic.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.marjoramnotch.logic.job.JobSettings;
import org.marjoramnotch.logic.placement.PlacementSettings;
import org.marjoramnotch.logic.replication.Replica;
import org.marjoramnotch.logic.replication.ReplicaSettings;
import org.marjoramnotch.logic.replication.SimulatedNetwork;
import org.marjoramnotch.logic.replication.SimulatedStorage;
import org.marjoramnotch.logic.replication.StorageWrite;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.replication.ReplicationEnvelope;

/** One replica's process, disk and drifting clock. */
final class SimulatedHost {
    private static final int ENTRIES_BETWEEN_SNAPSHOTS = 150;

    private final VmId vm;
    private final Set<VmId> vms;
    private final PayloadCodec codec;
    private final UniformRandomProvider random;
    private final double clockRate;
    private long clockOffset;
    private int identity;
    private long pausedUntil;
    private long highestConfiguration;
    private long snapshots;
    private SimulatedStorage storage = new SimulatedStorage();
    private Optional<CellCore> core = Optional.empty();

    SimulatedHost(VmId vm, Set<VmId> vms, PayloadCodec codec, UniformRandomProvider random) {
        this.vm = vm;
        this.vms = vms;
        this.codec = codec;
        this.random = random;
        this.clockRate = 0.99 + 0.02 * random.nextDouble();
    }

    CellCore core() {
        return core.orElseThrow();
    }

    boolean isRunning() {
        return core.isPresent();
    }

    boolean isPaused(long time) {
        return time < pausedUntil;
    }

    /** Returns how many snapshots were stored, whether created here or received. */
    long snapshots() {
        return snapshots;
    }

    VmId vm() {
        return vm;
    }

    long localTime(long time) {
        return clockOffset + (long) (time * clockRate);
    }

    boolean isAddressed(ReplicationEnvelope envelope) {
        return envelope.isAddressedTo(new ReplicaId(vm, "disk-" + identity));
    }

    void start(long time) {
        clockOffset = random.nextInt(1_000_000);
        ReplicaSettings settings =
                ReplicaSettings.builder(new ReplicaId(vm, "disk-" + identity), vms).build();
        Replica replica = new Replica(settings, storage.recover(), random, localTime(time));
        StandardLeaderDutyFactory dutyFactory =
                new StandardLeaderDutyFactory(
                        PlacementSettings.defaults(), JobSettings.defaults(), random);
        core =
                Optional.of(
                        new CellCore(
                                new CellSettings(ENTRIES_BETWEEN_SNAPSHOTS),
                                replica,
                                codec,
                                dutyFactory));
        highestConfiguration = 0;
        pausedUntil = 0;
    }

    void kill() {
        core = Optional.empty();
    }

    void loseDisk() {
        kill();
        identity++;
        storage = new SimulatedStorage();
    }

    void pause(long until) {
        pausedUntil = until;
    }

    /** Stores the writes, then sends the messages and replies. */
    void processEffects(long time, SimulatedNetwork network, Consumer<OutgoingReply> replies) {
        core().endBatch(localTime(time));
        CellEffects effects = core().takeEffects(localTime(time));
        storage.persist(effects.writes());
        snapshots +=
                effects.writes().stream()
                        .filter(StorageWrite.SaveSnapshot.class::isInstance)
                        .count();
        effects.messages()
                .forEach(
                        message ->
                                network.send(
                                        time,
                                        new ReplicationEnvelope(
                                                new ReplicaId(vm, "disk-" + identity),
                                                message.to(),
                                                message.message())));
        effects.replies().forEach(replies);
        long version = core().ledger().configurationVersion();
        assertThat(version).as("version at " + vm).isGreaterThanOrEqualTo(highestConfiguration);
        highestConfiguration = version;
    }
}
