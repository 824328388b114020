package org.marjoramnotch.logic.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.marjoramnotch.logic.job.JobSettings;
import org.marjoramnotch.logic.placement.PlacementSettings;
import org.marjoramnotch.logic.replication.Replica;
import org.marjoramnotch.logic.replication.ReplicationStatus;
import org.marjoramnotch.logic.replication.SimulatedClock;
import org.marjoramnotch.logic.replication.SimulatedNetwork;
import org.marjoramnotch.logic.replication.SimulatedStorage;
import org.marjoramnotch.logic.replication.StorageWrite;
import org.marjoramnotch.logic.workflow.WorkflowSettings;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.replication.ReplicationEnvelope;
import org.marjoramnotch.model.time.Clock;

/** One replica's process, disk and steady clock. */
final class SimulatedHost {
    private static final int ENTRIES_BETWEEN_SNAPSHOTS = 150;

    private final VmId vm;
    private final CellGroup group;
    private final PayloadCodec codec;
    private final UniformRandomProvider random;
    private final Clock wallClock;
    private final SimulatedClock clock;
    private int identity;
    private boolean founds;
    private long pausedUntil;
    private long highestConfiguration;
    private long snapshots;
    private SimulatedStorage storage = new SimulatedStorage();
    private Optional<Class<? extends StorageWrite>> refusedWrite = Optional.empty();
    private Runnable onRefusal = () -> {};
    private Optional<CellCore> core = Optional.empty();

    SimulatedHost(
            VmId vm,
            CellGroup group,
            PayloadCodec codec,
            UniformRandomProvider random,
            Clock wallClock) {
        this.vm = vm;
        this.group = group;
        this.codec = codec;
        this.random = random;
        this.wallClock = wallClock;
        this.clock = new SimulatedClock(0.99 + 0.02 * random.nextDouble());
        this.founds = group.founders().contains(id());
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

    boolean isActive(long time) {
        return isRunning() && !isPaused(time);
    }

    boolean isSuspended(long time) {
        return clock.isSuspended(time);
    }

    long pausedUntil() {
        return pausedUntil;
    }

    /** Returns how many snapshots were stored, whether created here or received. */
    long snapshots() {
        return snapshots;
    }

    VmId vm() {
        return vm;
    }

    ReplicaId id() {
        return new ReplicaId(vm, CellGroup.identity(identity));
    }

    long localTime(long time) {
        return clock.read(time);
    }

    ReplicationStatus status(long time) {
        return core().status(localTime(time));
    }

    boolean isAddressed(ReplicationEnvelope envelope) {
        return envelope.isAddressedTo(id());
    }

    void start(long time) {
        clock.restart(random.nextInt(1_000_000));
        Replica replica =
                new Replica(
                        group.replicaSettings(id()), storage.recover(), random, localTime(time));
        if (founds) {
            replica.foundGroup(group.founders());
        }
        core =
                Optional.of(
                        new CellCore(
                                new CellSettings(ENTRIES_BETWEEN_SNAPSHOTS),
                                replica,
                                codec,
                                dutyFactory()));
        highestConfiguration = 0;
        pausedUntil = 0;
        refusedWrite = Optional.empty();
    }

    private LeaderDutyFactory dutyFactory() {
        Optional<WorkflowDutySettings> workflow =
                Optional.of(new WorkflowDutySettings(WorkflowSettings.defaults(), wallClock));
        return new StandardLeaderDutyFactory(
                PlacementSettings.defaults(),
                JobSettings.defaults(),
                random,
                group.founders().isEmpty() ? Optional.empty() : workflow,
                Optional.empty());
    }

    void kill() {
        core = Optional.empty();
    }

    void loseDisk() {
        kill();
        identity++;
        founds = false;
        storage = new SimulatedStorage();
    }

    void pause(long until) {
        pausedUntil = until;
    }

    /** Pauses the process and the steady clock. */
    void suspend(long time, long until) {
        clock.suspend(time, until);
        pause(until);
    }

    /** Lets the disk fill up during the next write of a kind. */
    void refuseNext(Class<? extends StorageWrite> write, Runnable onRefused) {
        refusedWrite = Optional.of(write);
        onRefusal = onRefused;
    }

    /** Stores the writes, then sends the messages and replies. */
    void processEffects(long time, SimulatedNetwork network, Consumer<OutgoingReply> replies) {
        core().endBatch(localTime(time));
        CellEffects effects = core().takeEffects(localTime(time));
        if (refusedWrite
                .filter(kind -> effects.writes().stream().anyMatch(kind::isInstance))
                .isPresent()) {
            refuseWrites(time, effects.writes(), network, replies);
            return;
        }
        storage.persist(effects.writes());
        snapshots +=
                effects.writes().stream()
                        .filter(StorageWrite.SaveSnapshot.class::isInstance)
                        .count();
        send(time, effects, network, replies);
        long version = core().ledger().configurationVersion();
        assertThat(version).as("version at " + vm).isGreaterThanOrEqualTo(highestConfiguration);
        highestConfiguration = version;
    }

    /** Stores only the writes before the refused one, gives up leadership and ends the core. */
    private void refuseWrites(
            long time,
            List<StorageWrite> writes,
            SimulatedNetwork network,
            Consumer<OutgoingReply> replies) {
        Class<? extends StorageWrite> refused = refusedWrite.orElseThrow();
        storage.persist(writes.stream().takeWhile(write -> !refused.isInstance(write)).toList());
        send(time, core().resign(localTime(time)), network, replies);
        kill();
        onRefusal.run();
    }

    private void send(
            long time,
            CellEffects effects,
            SimulatedNetwork network,
            Consumer<OutgoingReply> replies) {
        effects.messages()
                .forEach(
                        message ->
                                network.send(
                                        time,
                                        new ReplicationEnvelope(
                                                id(), message.to(), message.message())));
        effects.replies().forEach(replies);
    }
}
