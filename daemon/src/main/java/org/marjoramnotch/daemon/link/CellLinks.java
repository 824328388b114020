package org.marjoramnotch.daemon.link;

import io.grpc.Server;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.daemon.duty.CellInput;
import org.marjoramnotch.daemon.duty.CellOutput;
import org.marjoramnotch.daemon.duty.Duty;
import org.marjoramnotch.daemon.duty.DutyInputQueue;
import org.marjoramnotch.daemon.log.LogEvent;
import org.marjoramnotch.daemon.log.LogRateLimiter;
import org.marjoramnotch.daemon.metrics.CountedEvent;
import org.marjoramnotch.daemon.metrics.DaemonMetrics;
import org.marjoramnotch.daemon.settings.ReplicaAddress;
import org.marjoramnotch.logic.cell.OutgoingReply;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.logic.replication.ReplicationEffects;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.CellRequest;
import org.marjoramnotch.model.replication.ReplicationEnvelope;
import org.marjoramnotch.model.time.Clock;
import org.marjoramnotch.wire.CborMapper;
import org.marjoramnotch.wire.FrameCodec;
import org.marjoramnotch.wire.generated.Frame;

/**
 * Manages all links of a process: one to each replica on another VM, and those that the local
 * replica accepted.
 */
public final class CellLinks implements CellOutput, CellTransport {
    private static final String LOCAL_LINK = "local";
    private static final long LOG_INTERVAL_MILLISECONDS = 1_000;
    private static final Logger LOGGER = Logger.getLogger(CellLinks.class);

    private final LinkSettings settings;
    private final Clock clock;
    private final DaemonMetrics metrics;
    private final FrameCodec frames = new FrameCodec(new CborMapper());
    private final LinkNetwork network;
    private final Map<VmId, PeerLink> links = new ConcurrentHashMap<>();
    private final Map<VmId, DutyInputQueue<Frame>> linkInputs = new ConcurrentHashMap<>();
    private final DutyInputQueue<ClientInput> clientInput;
    private final LogRateLimiter unreadableLogs;
    private final CellClient client;
    private final Optional<LocalReplica> local;
    private volatile @Nullable PeerLinkService service;
    private volatile @Nullable Consumer<VmId> linkStarter;
    private @Nullable Server server;

    /**
     * Creates the links of a process without opening them.
     *
     * @param local the replica of this process, if it has one
     * @param failure is told when a network thread ends that should not
     */
    public CellLinks(
            LinkSettings settings,
            Optional<LocalReplica> local,
            Clock clock,
            DaemonMetrics metrics,
            Consumer<Throwable> failure) {
        this.settings = settings;
        this.network = new LinkNetwork(failure);
        this.local = local;
        this.clock = clock;
        this.metrics = metrics;
        this.unreadableLogs = new LogRateLimiter(clock, LOG_INTERVAL_MILLISECONDS);
        this.clientInput = new DutyInputQueue<>(settings.ringCapacity());
        this.client = new CellClient(clientInput, clock, metrics);
        for (ReplicaAddress replica : settings.replicas()) {
            boolean other = !replica.vm().equals(settings.vm());
            // An entry needs a link only to the leader, and opens links while it looks for the
            // leader.
            boolean needed = local.isPresent() || settings.sharedLinkPort().isEmpty();
            if (other && needed) {
                addLink(replica);
            }
        }
    }

    /** Returns the client that sends requests to the leader. */
    public CellClient client() {
        return client;
    }

    /** Listens for links if this process has a replica, and returns the port. */
    public Optional<Integer> listen(String host, int port) {
        return local.map(
                replica -> {
                    service = new PeerLinkService(replica.input(), frames, metrics, clock);
                    server = network.startServer(host, port, service);
                    return server.getPort();
                });
    }

    /**
     * Passes the duties of the links and of the client, with their names, to a starter.
     *
     * @param report a request that is sent to the leader from time to time
     */
    public void startDuties(
            BiConsumer<String, Duty<?>> starter,
            Optional<CellRequest> report,
            Consumer<Throwable> failure) {
        Consumer<VmId> linkDutyStarter = vm -> startLink(vm, starter, failure);
        linkStarter = linkDutyStarter;
        links.keySet().forEach(linkDutyStarter);
        List<VmId> replicas = settings.replicas().stream().map(ReplicaAddress::vm).toList();
        CellClientDuty duty =
                new CellClientDuty(
                        replicas, this, metrics, settings.maximumPendingRequests(), report);
        starter.accept(
                "cell-client",
                new Duty<>(clientInput, duty, clock, CellClientDuty.TICK_MILLISECONDS, failure));
    }

    @Override
    public boolean send(VmId replica, long correlation, CellRequest request) {
        if (replica.equals(settings.vm())) {
            RequestHandle handle = new RequestHandle(LOCAL_LINK, correlation);
            return local.isPresent()
                    && local.get().input().offer(new CellInput.Request(handle, request));
        }
        PeerLink link = linkTo(replica);
        return link != null && link.offer(frames.request(correlation, request));
    }

    @Override
    public void send(ReplicationEffects.Outgoing message) {
        PeerLink link = linkTo(message.to().vm());
        ReplicaId self = local.orElseThrow().self();
        Frame frame =
                frames.replication(new ReplicationEnvelope(self, message.to(), message.message()));
        if (link == null || !link.offer(frame)) {
            metrics.count(CountedEvent.MESSAGE_DROPPED);
        }
    }

    @Override
    public void reply(OutgoingReply reply) {
        PeerLinkService accepted = service;
        if (reply.handle().link().equals(LOCAL_LINK)) {
            long correlation = reply.handle().correlation();
            if (!client.onReply(settings.vm(), correlation, reply.reply())) {
                metrics.count(CountedEvent.REPLY_DROPPED);
            }
        } else if (accepted != null) {
            accepted.reply(reply);
        }
    }

    @Override
    public void tick(long nowMilliseconds) {
        PeerLinkService accepted = service;
        if (accepted != null) {
            accepted.closeSilentLinks(nowMilliseconds, settings.deadlineMilliseconds());
        }
    }

    /** Closes all links. */
    public void close() {
        links.values().forEach(PeerLink::close);
        if (server != null) {
            server.shutdownNow();
        }
        network.close();
    }

    @Override
    public boolean isReachable(VmId vm) {
        return vm.equals(settings.vm()) ? local.isPresent() : linkTo(vm) != null;
    }

    /** Returns the link to a VM; a missing link is opened if VMs are named by their addresses. */
    private @Nullable PeerLink linkTo(VmId vm) {
        PeerLink link = links.get(vm);
        Consumer<VmId> starter = linkStarter;
        if (link != null || starter == null || settings.sharedLinkPort().isEmpty()) {
            return link;
        }
        return openLink(vm, settings.sharedLinkPort().get(), starter);
    }

    private synchronized @Nullable PeerLink openLink(VmId vm, int port, Consumer<VmId> starter) {
        if (!links.containsKey(vm) && !vm.equals(settings.vm())) {
            addLink(new ReplicaAddress(vm, vm.value(), port));
            starter.accept(vm);
        }
        return links.get(vm);
    }

    private void startLink(
            VmId vm, BiConsumer<String, Duty<?>> starter, Consumer<Throwable> failure) {
        starter.accept(
                "link-" + vm.value(),
                new Duty<>(
                        linkInputs.get(vm),
                        links.get(vm),
                        clock,
                        PeerLink.tickMilliseconds(settings.deadlineMilliseconds()),
                        failure));
    }

    private void addLink(ReplicaAddress replica) {
        DutyInputQueue<Frame> input = new DutyInputQueue<>(settings.ringCapacity());
        Frame hello = frames.hello(settings.vm(), settings.incarnation());
        LinkConnector connector =
                ready ->
                        GrpcLinkConnection.start(
                                network.openChannel(replica.host(), replica.port()),
                                clock,
                                List.of(hello, frames.heartbeat(0)),
                                frame -> onFrame(replica.vm(), frame),
                                ready);
        PeerLink link =
                new PeerLink(
                        replica.vm(),
                        input,
                        connector,
                        frames,
                        metrics,
                        () -> client.onLinkLost(replica.vm()),
                        settings.deadlineMilliseconds());
        linkInputs.put(replica.vm(), input);
        links.put(replica.vm(), link);
    }

    private void onFrame(VmId from, Frame frame) {
        if (!frame.hasCellReply()) {
            return;
        }
        try {
            CellReply reply = frames.replyOf(frame.getCellReply());
            if (client.onReply(from, frame.getCellReply().getCorrelation(), reply)) {
                return;
            }
        } catch (MarjoramnotchException unreadable) {
            // The link stays, since all other requests wait for their replies on it.
            unreadableLogs
                    .tryAcquire()
                    .ifPresent(
                            suppressed ->
                                    LogEvent.of("link_reply_unreadable")
                                            .with("replica", from)
                                            .with("message", unreadable.getMessage())
                                            .with("suppressed", suppressed)
                                            .warn(LOGGER));
        }
        metrics.count(CountedEvent.REPLY_DROPPED);
    }
}
