package org.marjoramnotch.logic.cell;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.apache.commons.rng.simple.RandomSource;
import org.marjoramnotch.logic.job.JobSettings;
import org.marjoramnotch.logic.placement.PlacementSettings;
import org.marjoramnotch.logic.replication.ReplicatedLog;
import org.marjoramnotch.logic.replication.ReplicationEffects;
import org.marjoramnotch.logic.replication.ReplicationEffects.CommittedEntry;
import org.marjoramnotch.logic.replication.ReplicationStatus;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.replication.ReplicationMessage;

/** A log whose leadership, refusals and commits are controlled by the test. */
final class ScriptedLog implements ReplicatedLog {
    private static final ReplicaId SELF = new ReplicaId(new VmId("vm-1"), "disk");

    final ReferenceCodec codec = new ReferenceCodec();
    final List<CommittedEntry> proposals = new ArrayList<>();
    final List<Long> compactions = new ArrayList<>();
    private final List<CommittedEntry> committed = new ArrayList<>();
    boolean ready = true;

    /** Whether the lease of a leader has lapsed. */
    boolean leaseLapsed;

    boolean refusing;

    /** The highest mark for which a quorum has confirmed this leader. */
    long confirmedMark = Long.MAX_VALUE;

    private long lastIndex;

    /** Returns a core on this log with the standard duties. */
    CellCore newCore() {
        return new CellCore(
                new CellSettings(100),
                this,
                codec,
                new StandardLeaderDutyFactory(
                        PlacementSettings.defaults(),
                        JobSettings.defaults(),
                        RandomSource.XO_RO_SHI_RO_128_PP.create(1)));
    }

    /** Returns all proposals as committed in the next effects. */
    void commitAll() {
        committed.addAll(proposals);
        proposals.clear();
    }

    @Override
    public OptionalLong propose(long nowMilliseconds, byte[] payload) {
        if (refusing) {
            return OptionalLong.empty();
        }
        long index = ++lastIndex;
        proposals.add(new CommittedEntry(index, 1, payload));
        return OptionalLong.of(index);
    }

    @Override
    public ReplicationEffects takeEffects() {
        List<CommittedEntry> taken = List.copyOf(committed);
        committed.clear();
        return new ReplicationEffects(List.of(), List.of(), Optional.empty(), taken);
    }

    @Override
    public ReplicationStatus status(long nowMilliseconds) {
        return new ReplicationStatus(
                SELF,
                holdsLease(),
                holdsLease(),
                Optional.of(SELF),
                1,
                0,
                1,
                List.of(SELF),
                List.of());
    }

    @Override
    public long requestConfirmation(long nowMilliseconds) {
        return nowMilliseconds;
    }

    @Override
    public boolean isConfirmed(long mark) {
        return mark <= confirmedMark;
    }

    @Override
    public void distrustLease(long nowMilliseconds) {
        leaseLapsed = true;
    }

    @Override
    public boolean isLeading(long nowMilliseconds) {
        return ready;
    }

    private boolean holdsLease() {
        return ready && !leaseLapsed;
    }

    @Override
    public void tick(long nowMilliseconds) {}

    @Override
    public void receive(long nowMilliseconds, ReplicaId from, ReplicationMessage message) {}

    @Override
    public void formGroup(long nowMilliseconds) {}

    @Override
    public void removeVm(long nowMilliseconds, VmId vm) {}

    @Override
    public void prepareStop(long nowMilliseconds) {}

    @Override
    public void resign(long nowMilliseconds) {
        ready = false;
    }

    @Override
    public void compact(long index, byte[] state) {
        compactions.add(index);
    }
}
