package org.marjoramnotch.logic.replication;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.replication.Membership;
import org.marjoramnotch.model.replication.ReplicationEnvelope;

/**
 * A simulated VM whose process takes time to start. Only its first process is told to found the
 * group, and only once it has opened the disk does it store its identity.
 */
final class FoundingVm {
    private static final int SYNC_MILLISECONDS = 10;

    private final VmId vm;
    private final FoundingSimulation simulation;
    private final Deque<ReplicationEnvelope> inbox = new ArrayDeque<>();
    private final List<Long> applied = new ArrayList<>();
    private boolean founds;
    private SimulatedStorage disk = new SimulatedStorage();
    private Optional<String> identity = Optional.empty();
    private Optional<Replica> replica = Optional.empty();
    private Optional<ReplicationEffects> syncing = Optional.empty();
    private long syncedAt;
    private long opensDiskAt;
    private long startsReplicaAt;

    FoundingVm(VmId vm, boolean founds, FoundingSimulation simulation) {
        this.vm = vm;
        this.founds = founds;
        this.simulation = simulation;
        schedule(simulation.random().nextLong(300));
    }

    VmId vm() {
        return vm;
    }

    Optional<ReplicaId> id() {
        return identity.map(stored -> new ReplicaId(vm, stored));
    }

    SimulatedStorage disk() {
        return disk;
    }

    String group() {
        return disk.membershipAt(Long.MAX_VALUE).group();
    }

    Membership membership() {
        return disk.membershipAt(Long.MAX_VALUE);
    }

    /** Returns the payloads that the present process has applied. */
    List<Long> applied() {
        return applied;
    }

    boolean isReady(long time) {
        return replica.map(running -> running.isReady(time)).orElse(false);
    }

    void receive(ReplicationEnvelope envelope) {
        if (replica.isPresent() && envelope.isAddressedTo(id().orElseThrow())) {
            inbox.add(envelope);
        }
    }

    /** Kills the process; a batch of writes in progress is stored completely or not at all. */
    void kill(long restartsAt) {
        if (simulation.random().nextBoolean()) {
            syncing.ifPresent(effects -> disk.persist(effects.writes()));
        }
        syncing = Optional.empty();
        replica = Optional.empty();
        inbox.clear();
        founds = false;
        schedule(restartsAt);
    }

    void loseDisk(long restartsAt) {
        kill(restartsAt);
        disk = new SimulatedStorage();
        identity = Optional.empty();
    }

    void step(long time) {
        if (identity.isEmpty() && time >= opensDiskAt) {
            openEmptyDisk();
        }
        if (replica.isEmpty() && time >= startsReplicaAt) {
            startReplica(time);
        }
        if (replica.isEmpty() || time < syncedAt) {
            return;
        }
        syncing.ifPresent(effects -> process(time, effects));
        syncing = Optional.empty();
        Replica running = replica.orElseThrow();
        while (!inbox.isEmpty()) {
            ReplicationEnvelope envelope = inbox.remove();
            running.receive(time, envelope.from(), envelope.message());
        }
        running.tick(time);
        if (running.isReady(time)) {
            simulation.payload().ifPresent(payload -> running.propose(time, payload));
        }
        ReplicationEffects effects = running.takeEffects();
        syncedAt = time + (effects.writes().isEmpty() ? 0 : SYNC_MILLISECONDS);
        syncing = Optional.of(effects);
    }

    private void schedule(long startsAt) {
        opensDiskAt = startsAt + simulation.random().nextLong(300, 700);
        startsReplicaAt = opensDiskAt + simulation.random().nextLong(10, 300);
    }

    private void openEmptyDisk() {
        if (founds) {
            disk.persist(FoundingEntry.writes(simulation.founders()));
        }
        identity =
                Optional.of(
                        founds
                                ? FoundingSimulation.FOUNDER
                                : Long.toHexString(simulation.random().nextLong()));
    }

    private void startReplica(long time) {
        applied.clear();
        syncedAt = 0;
        replica =
                Optional.of(
                        new Replica(
                                simulation.replicaSettings(id().orElseThrow()),
                                disk.recover(),
                                simulation.random(),
                                time));
    }

    private void process(long time, ReplicationEffects effects) {
        disk.persist(effects.writes());
        effects.messages().forEach(message -> simulation.send(this, message));
        for (ReplicationEffects.CommittedEntry entry : effects.committed()) {
            long payload = ByteBuffer.wrap(entry.payload()).getLong();
            applied.add(payload);
            simulation.onApplied(this, entry.index(), payload, isReady(time));
        }
    }
}
