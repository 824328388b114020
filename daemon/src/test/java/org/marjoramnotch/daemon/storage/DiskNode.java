package org.marjoramnotch.daemon.storage;

import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.apache.commons.rng.simple.RandomSource;
import org.marjoramnotch.daemon.duty.CellDuty;
import org.marjoramnotch.daemon.duty.CellInput;
import org.marjoramnotch.daemon.duty.CellOutput;
import org.marjoramnotch.daemon.duty.ReplicaObserver;
import org.marjoramnotch.daemon.duty.SuspensionDetector;
import org.marjoramnotch.daemon.metrics.DaemonMetrics;
import org.marjoramnotch.logic.cell.CellCore;
import org.marjoramnotch.logic.cell.CellSettings;
import org.marjoramnotch.logic.cell.OutgoingReply;
import org.marjoramnotch.logic.cell.StandardLeaderDutyFactory;
import org.marjoramnotch.logic.cell.WorkflowDutySettings;
import org.marjoramnotch.logic.job.JobSettings;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.logic.placement.PlacementSettings;
import org.marjoramnotch.logic.replication.RecoveredState;
import org.marjoramnotch.logic.replication.Replica;
import org.marjoramnotch.logic.replication.ReplicationEffects;
import org.marjoramnotch.logic.replication.ReplicationStatus;
import org.marjoramnotch.logic.workflow.WorkflowSettings;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.CellRequest;
import org.marjoramnotch.model.replication.ReplicationEnvelope;
import org.marjoramnotch.model.time.Clock;
import org.marjoramnotch.wire.CborCodec;
import org.marjoramnotch.wire.CborMapper;

/** A simulated replica whose duty stores on a disk that can fail. */
final class DiskNode implements CellOutput {
    final FaultyDisk disk = new FaultyDisk();
    final Deque<CellInput> inputs = new ArrayDeque<>();
    final List<ReplicationEnvelope> sent = new ArrayList<>();
    final List<CellReply> replies = new ArrayList<>();
    final List<DecisionLogEntry> decisions = new ArrayList<>();
    final ReplicaId self;
    private final DiskGroupSettings settings;
    private final Clock clock;
    private final CellDuty duty;
    private Consumer<OutgoingReply> replyListener = reply -> replies.add(reply.reply());
    private CellCore core;
    private boolean busy;
    int totalSent;

    /** How far the time of day is ahead of the steady clock. */
    long suspendedMilliseconds;

    private int requests;

    DiskNode(VmId vm, DiskGroupSettings settings, Path folder, Clock clock) {
        this.self = DiskGroupSettings.replicaOn(vm);
        this.settings = settings;
        this.clock = clock;
        FileReplicaStorage storage = FileReplicaStorage.open(folder, self.identity(), disk);
        long now = clock.nowMilliseconds();
        this.duty =
                new CellDuty(
                        self,
                        create(storage.recover(), now, now),
                        new CellStore(storage, this::create),
                        this,
                        call -> {},
                        decisions::add,
                        new ReplicaObserver(decisions::add, new DaemonMetrics().replica(), clock),
                        clock,
                        new SuspensionDetector(
                                clock, () -> clock.nowMilliseconds() + suspendedMilliseconds));
    }

    /** Runs one turn of the duty, unless a turn is still running. */
    void run() {
        if (busy) {
            return;
        }
        busy = true;
        duty.tick(clock.nowMilliseconds());
        while (!inputs.isEmpty()) {
            duty.receive(clock.nowMilliseconds(), inputs.remove());
        }
        duty.flush(clock.nowMilliseconds());
        busy = false;
    }

    /** Receives the replies in place of {@link #replies}. */
    void setReplyListener(Consumer<OutgoingReply> listener) {
        replyListener = listener;
    }

    RequestHandle request(CellRequest request) {
        requests++;
        RequestHandle handle = new RequestHandle(self.vm().value(), requests);
        inputs.add(new CellInput.Request(handle, request));
        return handle;
    }

    /** Returns the applied state. */
    Object state() {
        return core.ledger().snapshot();
    }

    ReplicationStatus status() {
        CompletableFuture<ReplicationStatus> result = new CompletableFuture<>();
        duty.receive(clock.nowMilliseconds(), new CellInput.ReadReplication(result));
        return result.join();
    }

    @Override
    public void send(ReplicationEffects.Outgoing message) {
        totalSent++;
        sent.add(new ReplicationEnvelope(self, message.to(), message.message()));
    }

    @Override
    public void reply(OutgoingReply reply) {
        replyListener.accept(reply);
    }

    @Override
    public void tick(long nowMilliseconds) {}

    private CellCore create(RecoveredState recovered, long processStart, long now) {
        Replica replica =
                new Replica(
                        settings.replicaSettings(self),
                        recovered,
                        RandomSource.XO_RO_SHI_RO_128_PP.create(self.hashCode()),
                        processStart,
                        now);
        if (settings.founders().contains(self)) {
            replica.foundGroup(settings.founders());
        }
        core =
                new CellCore(
                        new CellSettings(settings.entriesBetweenSnapshots()),
                        replica,
                        new CborCodec(new CborMapper()),
                        new StandardLeaderDutyFactory(
                                PlacementSettings.defaults(),
                                JobSettings.defaults(),
                                RandomSource.XO_RO_SHI_RO_128_PP.create(1),
                                Optional.of(
                                        new WorkflowDutySettings(
                                                WorkflowSettings.defaults(), clock)),
                                Optional.empty()));
        return core;
    }
}
