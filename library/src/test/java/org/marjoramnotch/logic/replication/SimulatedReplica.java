package org.marjoramnotch.logic.replication;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.marjoramnotch.logic.replication.ReplicationEffects.CommittedEntry;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.replication.ReplicationEnvelope;
import org.marjoramnotch.model.replication.TimeoutNow;

/** A replica on one simulated VM, with its storage, its clock and its applied state. */
final class SimulatedReplica {
    /** The point in the handling of effects at which a process dies. */
    enum Death {
        NONE,
        DURING_SYNC,
        DISK_REFUSES,
        BEFORE_SEND,
        BEFORE_APPLY
    }

    private static final int STATE_BYTES = 700;

    private final VmId vm;
    private final SimulationSettings settings;
    private final UniformRandomProvider random;
    private final SafetyChecker checker;
    private final Coverage coverage;
    private final double clockRate;
    private long clockOffset;
    private int identities;
    private boolean seenAsVoter;
    private SimulatedStorage storage = new SimulatedStorage();
    private Optional<Replica> replica = Optional.empty();
    private long pausedUntil;
    private Death death = Death.NONE;
    private long appliedIndex;
    private long hash;
    private int appliedSinceCompaction;

    SimulatedReplica(VmId vm, double clockRate, ReplicationSimulation simulation) {
        this.vm = vm;
        this.clockRate = clockRate;
        this.settings = simulation.settings();
        this.random = simulation.random();
        this.checker = simulation.checker();
        this.coverage = simulation.coverage();
    }

    ReplicaId id() {
        return new ReplicaId(vm, "identity-" + identities);
    }

    SimulatedStorage storage() {
        return storage;
    }

    long hash() {
        return hash;
    }

    boolean isRunning() {
        return replica.isPresent();
    }

    boolean isPaused(long time) {
        return time < pausedUntil;
    }

    /**
     * Returns whether this identity is seen as a voter for the first time, and records that it was.
     */
    boolean becomesVoter() {
        boolean first = !seenAsVoter;
        seenAsVoter = true;
        return first;
    }

    /** Returns the status, and checks that {@link Replica#isReady} agrees with it. */
    ReplicationStatus status(long time) {
        ReplicationStatus status = replica().status(localTime(time));
        assertThat(replica().isReady(localTime(time))).isEqualTo(status.ready());
        return status;
    }

    Replica replica() {
        return replica.orElseThrow();
    }

    long localTime(long time) {
        return clockOffset + (long) (time * clockRate);
    }

    void start(long time) {
        clockOffset = random.nextInt(1_000_000);
        createReplica(time);
    }

    private void createReplica(long time) {
        hash = 0;
        appliedIndex = 0;
        appliedSinceCompaction = 0;
        death = Death.NONE;
        pausedUntil = 0;
        replica =
                Optional.of(
                        new Replica(
                                settings.replicaSettings(id()),
                                storage.recover(),
                                random,
                                localTime(time)));
    }

    void kill() {
        replica = Optional.empty();
    }

    void pause(long until) {
        pausedUntil = until;
    }

    void planDeath(Death planned) {
        death = planned;
    }

    void loseDisk() {
        kill();
        identities++;
        seenAsVoter = false;
        storage = new SimulatedStorage();
    }

    void receive(long time, ReplicationEnvelope envelope) {
        if (envelope.isAddressedTo(id())) {
            replica().receive(localTime(time), envelope.from(), envelope.message());
        }
    }

    /** Carries out the effects as a host does, up to a planned death. */
    void processEffects(long time, SimulatedNetwork network) {
        ReplicationEffects effects = replica().takeEffects();
        List<StorageWrite> writes = effects.writes();
        if (death == Death.DURING_SYNC && !writes.isEmpty()) {
            storage.persist(writes.subList(0, random.nextInt(writes.size())));
            die(CoveredEvent.DEATH_DURING_SYNC);
            return;
        }
        if (death == Death.DISK_REFUSES && !writes.isEmpty()) {
            refuseWrites(time, writes, network);
            return;
        }
        writes.forEach(this::count);
        storage.persist(writes);
        if (death == Death.BEFORE_SEND && !effects.messages().isEmpty()) {
            die(CoveredEvent.DEATH_BEFORE_SEND);
            return;
        }
        for (ReplicationEffects.Outgoing outgoing : effects.messages()) {
            checker.checkSynced(this, outgoing.to(), outgoing.message());
            if (outgoing.message() instanceof TimeoutNow) {
                coverage.count(CoveredEvent.TRANSFER);
            }
            network.send(time, new ReplicationEnvelope(id(), outgoing.to(), outgoing.message()));
        }
        if (death == Death.BEFORE_APPLY && !effects.committed().isEmpty()) {
            die(CoveredEvent.DEATH_BEFORE_APPLY);
            return;
        }
        effects.restored().ifPresent(this::restore);
        effects.committed().forEach(this::apply);
        compactIfDue();
    }

    /**
     * Simulates a disk that refuses writes: stores only some of them, gives up leadership, and
     * restarts at once in the same process or later in a new one.
     */
    private void refuseWrites(long time, List<StorageWrite> writes, SimulatedNetwork network) {
        storage.persist(writes.subList(0, random.nextInt(writes.size())));
        replica().resign(localTime(time));
        for (ReplicationEffects.Outgoing outgoing : replica().takeEffects().messages()) {
            coverage.count(CoveredEvent.DISK_REFUSED_LEADER);
            network.send(time, new ReplicationEnvelope(id(), outgoing.to(), outgoing.message()));
        }
        if (random.nextBoolean()) {
            die(CoveredEvent.DISK_REFUSED);
        } else {
            coverage.count(CoveredEvent.DISK_REFUSED);
            createReplica(time);
        }
    }

    private void die(CoveredEvent event) {
        coverage.count(event);
        kill();
    }

    private void count(StorageWrite write) {
        if (write instanceof StorageWrite.TruncateLog) {
            coverage.count(CoveredEvent.TRUNCATION);
        } else if (write instanceof StorageWrite.SaveHardState save
                && save.state().term() > storage.hardState().term()) {
            coverage.count(CoveredEvent.TERM);
        }
    }

    private void restore(ReplicationEffects.RestoredState restored) {
        if (appliedIndex > 0) {
            coverage.count(CoveredEvent.SNAPSHOT_INSTALLED);
        }
        appliedIndex = restored.index();
        hash = ByteBuffer.wrap(restored.state()).getLong();
        checker.checkRestored(restored.index(), hash);
    }

    private void apply(CommittedEntry entry) {
        assertThat(entry.index()).isGreaterThan(appliedIndex);
        appliedIndex = entry.index();
        hash = 31 * hash + ByteBuffer.wrap(entry.payload()).getLong() + entry.term();
        checker.onApplied(appliedIndex, hash);
        appliedSinceCompaction++;
    }

    private void compactIfDue() {
        if (appliedSinceCompaction < settings.entriesBetweenCompactions()) {
            return;
        }
        appliedSinceCompaction = 0;
        coverage.count(CoveredEvent.COMPACTION);
        replica().compact(appliedIndex, ByteBuffer.allocate(STATE_BYTES).putLong(hash).array());
    }
}
