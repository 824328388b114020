package org.marjoramnotch.daemon;

import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;
import org.marjoramnotch.daemon.duty.CellDuty;
import org.marjoramnotch.daemon.duty.CellInput;
import org.marjoramnotch.daemon.duty.CellOutput;
import org.marjoramnotch.daemon.duty.Duty;
import org.marjoramnotch.daemon.duty.DutyInputQueue;
import org.marjoramnotch.daemon.duty.OrderPort;
import org.marjoramnotch.daemon.duty.ReplicaObserver;
import org.marjoramnotch.daemon.duty.SuspensionDetector;
import org.marjoramnotch.daemon.link.LocalReplica;
import org.marjoramnotch.daemon.log.LogEvent;
import org.marjoramnotch.daemon.metrics.DaemonMetrics;
import org.marjoramnotch.daemon.metrics.ReplicaMetrics;
import org.marjoramnotch.daemon.settings.DaemonLimits;
import org.marjoramnotch.daemon.settings.DaemonSettings;
import org.marjoramnotch.daemon.settings.FormationSettings;
import org.marjoramnotch.daemon.settings.ReplicaAddress;
import org.marjoramnotch.daemon.storage.CellStore;
import org.marjoramnotch.daemon.storage.FileReplicaStorage;
import org.marjoramnotch.daemon.storage.StorageOpenRetry;
import org.marjoramnotch.logic.cell.CellCore;
import org.marjoramnotch.logic.cell.CellSettings;
import org.marjoramnotch.logic.cell.LeaderDutyFactory;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.logic.replication.FoundingEntry;
import org.marjoramnotch.logic.replication.MembershipPolicy;
import org.marjoramnotch.logic.replication.RecoveredState;
import org.marjoramnotch.logic.replication.Replica;
import org.marjoramnotch.logic.replication.ReplicaSettings;
import org.marjoramnotch.logic.replication.ReplicationStatus;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.message.Done;
import org.marjoramnotch.model.order.CallOutcome;
import org.marjoramnotch.model.order.WorkerCall;
import org.marjoramnotch.model.time.Clock;
import org.marjoramnotch.wire.CborCodec;
import org.marjoramnotch.wire.CborMapper;

/** Hosts the replica of a process and its storage. */
final class ReplicaHost {
    /**
     * Identity of the founders' data folders; fixed, since every founder must know it beforehand.
     */
    private static final String FOUNDER_IDENTITY = "founder";

    private static final Logger LOGGER = Logger.getLogger(ReplicaHost.class);

    private final DaemonSettings settings;
    private final LeaderDutyFactory parts;
    private final Clock clock;
    private final long startedMilliseconds;
    private final ReplicaMetrics metrics;
    private final FileReplicaStorage storage;
    private final RecoveredState recovered;
    private final ReplicaId self;
    private final DutyInputQueue<CellInput> input;

    /** Opens the storage and recovers the stored state. */
    ReplicaHost(
            DaemonSettings settings,
            Path dataFolder,
            LeaderDutyFactory parts,
            Clock clock,
            long startedMilliseconds,
            DaemonMetrics daemonMetrics) {
        this.metrics = daemonMetrics.replica();
        this.startedMilliseconds = startedMilliseconds;
        this.settings = settings;
        this.parts = parts.withMetricsListener(daemonMetrics.leader());
        this.clock = clock;
        RecoveredStorage opened =
                StorageOpenRetry.retry(() -> open(settings, dataFolder), ReplicaHost::pause);
        this.storage = opened.storage();
        this.recovered = opened.state();
        this.self = new ReplicaId(settings.vm(), storage.identity());
        this.input =
                new DutyInputQueue<>(
                        settings.limits().queueCapacity(), clock, metrics::recordInputDelay);
    }

    LocalReplica localReplica() {
        return new LocalReplica(self, input);
    }

    /** Returns the duty of the replica, which starts from the stored state. */
    Duty<CellInput> duty(
            CellOutput output,
            OrderPort orders,
            Consumer<DecisionLogEntry> decisionListener,
            Consumer<Throwable> failure) {
        return new Duty<>(
                input,
                new CellDuty(
                        self,
                        startCore(recovered, startedMilliseconds, clock.nowMilliseconds()),
                        new CellStore(storage, this::startCore),
                        output,
                        call -> orders.send(call, outcome -> onCallOutcome(call, outcome)),
                        decisionListener,
                        new ReplicaObserver(decisionListener, metrics, System::currentTimeMillis),
                        clock,
                        new SuspensionDetector(clock, System::currentTimeMillis)),
                clock,
                CellDuty.TICK_MILLISECONDS,
                failure);
    }

    private CellCore startCore(RecoveredState stored, long coreStartedMilliseconds, long now) {
        RecoveredStateLog.write(self, stored);
        DaemonLimits limits = settings.limits();
        Replica replica =
                new Replica(
                        replicaSettings(limits),
                        stored,
                        RandomSources.create(),
                        coreStartedMilliseconds,
                        now);
        replica.setFoundingListener(
                (decision, group) ->
                        LogEvent.of("group_founding")
                                .with("decision", decision)
                                .with("group", group)
                                .with("seeds", settings.replicas().size())
                                .info(LOGGER));
        return new CellCore(
                new CellSettings(limits.snapshotEveryEntries()),
                replica,
                new CborCodec(new CborMapper()),
                parts);
    }

    /** Requests the replication status of the replica. */
    CompletableFuture<ReplicationStatus> status() {
        CompletableFuture<ReplicationStatus> result = new CompletableFuture<>();
        input.offer(new CellInput.ReadReplication(result));
        return result;
    }

    /** Replaces the VMs that the replica contacts in order to join the group. */
    void useContacts(List<VmId> vms) {
        if (!input.offer(new CellInput.UseContacts(Set.copyOf(vms)))) {
            LogEvent.of("contacts_not_used").with("vms", vms).warn(LOGGER);
        }
    }

    /**
     * Hands leadership over and stops accepting requests. A replica without other voters keeps
     * leadership, so that the last reports are still handled.
     */
    CompletableFuture<Done> prepareStop() {
        return status().thenCompose(
                        status -> {
                            CompletableFuture<Done> result = new CompletableFuture<>();
                            if (status.voters().size() <= 1) {
                                result.complete(new Done());
                            } else {
                                input.offer(new CellInput.PrepareStop(result));
                            }
                            return result;
                        });
    }

    void close() {
        storage.close();
    }

    /** Passes an outcome to the duty; a dropped outcome is later treated as a missing answer. */
    private void onCallOutcome(WorkerCall call, CallOutcome outcome) {
        metrics.countWorkerCall(call, outcome);
        if (!input.offer(new CellInput.Outcome(outcome))) {
            LogEvent.of("call_outcome_dropped").with("call", outcome.id()).warn(LOGGER);
        }
    }

    private MembershipPolicy membershipPolicy() {
        return settings.formation()
                .map(
                        formation ->
                                MembershipPolicy.open(
                                        formation.tolerableLosses(),
                                        settings.limits().electionTimeoutMaximumMilliseconds()))
                .orElseGet(MembershipPolicy::fixed);
    }

    private static void pause(long milliseconds) {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(milliseconds));
    }

    private record RecoveredStorage(FileReplicaStorage storage, RecoveredState state) {}

    /**
     * Opens the storage and recovers its state. In a group with changing members, a damaged state
     * is moved aside and the VM joins again under a new identity; if the process ended instead, it
     * would end again at each restart.
     */
    private static RecoveredStorage open(DaemonSettings settings, Path dataFolder) {
        try {
            FileReplicaStorage storage =
                    isFounder(settings)
                            ? FileReplicaStorage.open(
                                    dataFolder,
                                    FOUNDER_IDENTITY,
                                    FoundingEntry.writes(founders(settings)))
                            : FileReplicaStorage.open(dataFolder);
            return recover(storage);
        } catch (MarjoramnotchException damage) {
            if (damage.code() != ErrorCode.STORAGE_DAMAGED || settings.formation().isEmpty()) {
                throw damage;
            }
            LogEvent.of("storage_set_aside")
                    .with("folder", dataFolder)
                    .with("cause", damage.getMessage())
                    .warn(LOGGER);
            FileReplicaStorage.renameDamagedState(dataFolder);
            return recover(FileReplicaStorage.open(dataFolder));
        }
    }

    private static RecoveredStorage recover(FileReplicaStorage storage) {
        try {
            return new RecoveredStorage(storage, storage.recover());
        } catch (MarjoramnotchException damage) {
            storage.close();
            throw damage;
        }
    }

    /** Returns whether the replica of this VM is one of the founders of the group. */
    private static boolean isFounder(DaemonSettings settings) {
        return settings.formation().map(FormationSettings::foundsGroup).orElse(false)
                && settings.replicas().stream()
                        .anyMatch(replica -> replica.vm().equals(settings.vm()));
    }

    private static List<ReplicaId> founders(DaemonSettings settings) {
        return settings.replicas().stream()
                .map(replica -> new ReplicaId(replica.vm(), FOUNDER_IDENTITY))
                .toList();
    }

    private ReplicaSettings replicaSettings(DaemonLimits limits) {
        List<ReplicaAddress> replicas = settings.replicas();
        Set<VmId> vms = replicas.stream().map(ReplicaAddress::vm).collect(Collectors.toSet());
        return ReplicaSettings.builder(self, vms)
                .electionTimeoutMilliseconds(
                        limits.electionTimeoutMinimumMilliseconds(),
                        limits.electionTimeoutMaximumMilliseconds())
                .heartbeatIntervalMilliseconds(limits.heartbeatIntervalMilliseconds())
                .membershipPolicy(membershipPolicy())
                .build();
    }
}
