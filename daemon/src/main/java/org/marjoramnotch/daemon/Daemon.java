package org.marjoramnotch.daemon;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import org.marjoramnotch.daemon.duty.Duty;
import org.marjoramnotch.daemon.duty.FatalErrorHandler;
import org.marjoramnotch.daemon.duty.OrderPort;
import org.marjoramnotch.daemon.duty.SystemClock;
import org.marjoramnotch.daemon.entry.Entry;
import org.marjoramnotch.daemon.entry.EntryLimits;
import org.marjoramnotch.daemon.http.ClientGuard;
import org.marjoramnotch.daemon.http.ClientLimits;
import org.marjoramnotch.daemon.http.HttpInterface;
import org.marjoramnotch.daemon.http.HttpInterfaceBuilder;
import org.marjoramnotch.daemon.http.HttpListener;
import org.marjoramnotch.daemon.link.CellLinks;
import org.marjoramnotch.daemon.link.LinkSettings;
import org.marjoramnotch.daemon.link.LocalReplica;
import org.marjoramnotch.daemon.log.DecisionLog;
import org.marjoramnotch.daemon.log.LogSetup;
import org.marjoramnotch.daemon.metrics.DaemonMetrics;
import org.marjoramnotch.daemon.settings.DaemonLimits;
import org.marjoramnotch.daemon.settings.DaemonRole;
import org.marjoramnotch.daemon.settings.DaemonSettings;
import org.marjoramnotch.daemon.settings.OperatorKeyHash;
import org.marjoramnotch.daemon.settings.ReplicaAddress;
import org.marjoramnotch.daemon.settings.WorkflowDaemonSettings;
import org.marjoramnotch.daemon.transport.NetworkThreads;
import org.marjoramnotch.logic.cell.LeaderDutyFactory;
import org.marjoramnotch.logic.cell.StandardLeaderDutyFactory;
import org.marjoramnotch.logic.cell.WorkflowDutySettings;
import org.marjoramnotch.logic.job.JobSettings;
import org.marjoramnotch.logic.job.QueueOrder;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.logic.placement.PlacementSettings;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.message.CellRequest;
import org.marjoramnotch.model.message.ReportHeldLimit;
import org.marjoramnotch.model.time.Clock;

/** The process that runs on every VM: an entry, links and, on VMs with a disk, a replica. */
public final class Daemon {
    /** A value that is not the hash of any key, so that no operator key is accepted. */
    private static final String NO_KEY_HASH = "";

    private final DaemonSettings settings;
    private final DaemonExtension extension;
    private final Clock clock = new SystemClock();
    private final DaemonMetrics metrics = new DaemonMetrics();
    private final String incarnation = UUID.randomUUID().toString();
    private final Consumer<Throwable> failure = new FatalErrorHandler();
    private final NetworkThreads threads = new NetworkThreads(failure);
    private final List<Duty<?>> duties = new CopyOnWriteArrayList<>();
    private final Optional<ReplicaHost> replica;
    private final CellLinks links;
    private final Entry entry;
    private final HttpInterface http;
    private final List<HttpListener> listeners = new ArrayList<>();
    private final DaemonAddresses addresses;
    private final DaemonShutdown stop;
    private final CountDownLatch stopped = new CountDownLatch(1);

    /**
     * Starts all components.
     *
     * @param begun a time at or after the start of the process, in milliseconds
     */
    private Daemon(
            DaemonSettings settings,
            LeaderDutyFactory parts,
            DaemonExtension extension,
            long begun) {
        this.settings = settings;
        this.extension = extension;
        String operatorKey =
                settings.operatorKeySha256File().map(OperatorKeyHash::read).orElse(NO_KEY_HASH);
        replica =
                settings.dataFolder()
                        .filter(path -> settings.has(DaemonRole.REPLICA))
                        .map(path -> new ReplicaHost(settings, path, parts, clock, begun, metrics));
        links = new CellLinks(linkSettings(), localReplica(), clock, metrics, failure);
        entry =
                new Entry(
                        settings.vm(),
                        incarnation,
                        entryLimits(settings.limits()),
                        links.client(),
                        threads,
                        clock,
                        metrics);
        stop = new DaemonShutdown(clock, settings.limits());
        ClientGuard clients = new ClientGuard(ClientLimits.of(settings.limits()), metrics, clock);
        http =
                new HttpInterfaceBuilder(threads, settings, clock, metrics, clients)
                        .replica(localReplica().map(LocalReplica::input))
                        .ready(() -> !stop.hasBegun() && entry.holdsLease())
                        .build(entry, links.client(), operatorKey);
        Optional<Integer> linkPort = links.listen(settings.linkHost(), settings.linkPort());
        startDuties(extension.orderPort(threads, clock));
        listeners.add(http.listen(settings.httpHost(), settings.httpPort()));
        addresses =
                new DaemonAddresses(
                        listeners.get(0).address(),
                        linkPort.map(port -> new InetSocketAddress(settings.linkHost(), port)));
        listeners.addAll(
                extension.start(
                        new DaemonContext(
                                threads,
                                settings,
                                links.client(),
                                clock,
                                metrics,
                                clients,
                                () -> !stop.hasBegun() && entry.holdsLease())));
    }

    /** Runs a process with an extension until the given work returns. */
    public static void runFor(DaemonSettings settings, DaemonExtension extension, Runnable work) {
        DaemonRunner.runFor(settings, extension, work);
    }

    /** Starts a process with the log level and the decision logic of its settings. */
    static Daemon startConfigured(DaemonSettings settings, DaemonExtension extension, long begun) {
        LogSetup.configure(settings.logLevel());
        LeaderDutyFactory parts =
                standardParts(
                        settings.jobOrder(), settings.workflow(), settings.availabilityZones());
        return new Daemon(settings, parts, extension, begun);
    }

    /** Returns the decision logic of the leader with its default settings. */
    public static LeaderDutyFactory standardParts() {
        return standardParts(JobSettings.defaults().order(), Optional.empty(), List.of());
    }

    private static LeaderDutyFactory standardParts(
            QueueOrder jobOrder,
            Optional<WorkflowDaemonSettings> workflow,
            List<AvailabilityZone> availabilityZones) {
        return new StandardLeaderDutyFactory(
                PlacementSettings.defaults(),
                JobSettings.builder().order(jobOrder).build(),
                RandomSources.create(),
                workflow.map(
                        workers ->
                                new WorkflowDutySettings(
                                        workers.workflowSettings(
                                                availabilityZones, heldStateLimit(workers)),
                                        System::currentTimeMillis)),
                Optional.empty());
    }

    private static long heldStateLimit(WorkflowDaemonSettings workflow) {
        return workflow.mostHeldBytes() > 0
                ? workflow.mostHeldBytes()
                : HeldStateLimit.ofHeap(Runtime.getRuntime().maxMemory());
    }

    /**
     * Starts a process and returns once it accepts requests.
     *
     * @param parts creates the decision logic of the leader
     */
    public static Daemon start(DaemonSettings settings, LeaderDutyFactory parts) {
        return new Daemon(
                settings, parts, DaemonExtension.NONE, new SystemClock().nowMilliseconds());
    }

    /** Applies the settings that can change while the process runs, which are the replicas. */
    void applySettings(DaemonSettings changed) {
        List<VmId> vms = changed.replicas().stream().map(ReplicaAddress::vm).toList();
        links.client().addReplicas(vms);
        replica.ifPresent(host -> host.useContacts(vms));
    }

    /** Returns the addresses on which the process listens. */
    public DaemonAddresses addresses() {
        return addresses;
    }

    /** Returns the metrics of the process. */
    public DaemonMetrics metrics() {
        return metrics;
    }

    /** Waits for requests in flight to end, then closes all components. */
    public void stop() {
        stop(clock.nowMilliseconds());
    }

    /**
     * Stops as {@link #stop()} does, within the time that is left.
     *
     * @param signalledMilliseconds when the process was told to stop
     */
    synchronized void stop(long signalledMilliseconds) {
        if (stopped.getCount() == 0) {
            return;
        }
        StopSchedule schedule =
                stop.begin(
                        listeners, extension.readinessGraceMilliseconds(), signalledMilliseconds);
        stop.serve(schedule);
        http.stopAcceptingWork();
        extension.stopAcceptingWork();
        stop.drain(schedule, listeners, entry, replica);
        stop.closeListeners(schedule, listeners);
        stop.stopDuties(schedule, duties);
        links.close();
        threads.close();
        replica.ifPresent(ReplicaHost::close);
        stopped.countDown();
    }

    /** Waits until the process has stopped. */
    public void awaitStop() {
        try {
            stopped.await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void startDuties(OrderPort orders) {
        Consumer<DecisionLogEntry> log = new DecisionLog(clock)::write;
        Consumer<DecisionLogEntry> decisionListener = log.andThen(metrics::countDecision);
        replica.ifPresent(
                host -> startDuty("cell", host.duty(links, orders, decisionListener, failure)));
        links.startDuties(this::startDuty, heldLimitReport(), failure);
        startDuty("entry", entry.duty(failure));
        if (replica.isPresent()) {
            MemoryWatch.start(clock, failure);
        }
    }

    private void startDuty(String name, Duty<?> duty) {
        duties.add(duty);
        duty.start(name);
    }

    /** Returns what the replica reports to the leader from time to time. */
    private Optional<CellRequest> heldLimitReport() {
        return replica.flatMap(host -> settings.workflow())
                .map(workflow -> new ReportHeldLimit(settings.vm(), heldStateLimit(workflow)));
    }

    private Optional<LocalReplica> localReplica() {
        return replica.map(ReplicaHost::localReplica);
    }

    private LinkSettings linkSettings() {
        DaemonLimits limits = settings.limits();
        return new LinkSettings(
                settings.vm(),
                incarnation,
                settings.replicas(),
                limits.linkDeadlineMilliseconds(),
                settings.formation().map(formation -> settings.linkPort()),
                limits.queueCapacity(),
                2 * limits.maximumOpenRequests());
    }

    private static EntryLimits entryLimits(DaemonLimits limits) {
        return new EntryLimits(
                limits.maximumOpenRequests(),
                limits.maximumFeeds(),
                limits.endpointConnectionsPerEntry(),
                limits.maximumBodyBytes());
    }
}
