package org.marjoramnotch.daemon.link;

import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.jboss.logging.Logger;
import org.marjoramnotch.daemon.duty.CellInput;
import org.marjoramnotch.daemon.duty.DutyInputQueue;
import org.marjoramnotch.daemon.log.LogEvent;
import org.marjoramnotch.daemon.log.LogRateLimiter;
import org.marjoramnotch.daemon.metrics.CountedEvent;
import org.marjoramnotch.daemon.metrics.DaemonMetrics;
import org.marjoramnotch.logic.cell.OutgoingReply;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.error.Refusal;
import org.marjoramnotch.model.message.CellRequest;
import org.marjoramnotch.model.message.Refused;
import org.marjoramnotch.model.replication.ReplicationEnvelope;
import org.marjoramnotch.model.time.Clock;
import org.marjoramnotch.wire.FrameCodec;
import org.marjoramnotch.wire.generated.CellRequestFrame;
import org.marjoramnotch.wire.generated.Frame;
import org.marjoramnotch.wire.generated.PeerLinkGrpc;

/** Accepts links to this replica and passes their frames to its core. */
final class PeerLinkService extends PeerLinkGrpc.PeerLinkImplBase implements AcceptedLinkListener {
    private static final long LOG_INTERVAL_MILLISECONDS = 1_000;
    private static final Logger LOGGER = Logger.getLogger(PeerLinkService.class);

    private final DutyInputQueue<CellInput> cell;
    private final FrameCodec frames;
    private final DaemonMetrics metrics;
    private final Clock clock;
    private final LogRateLimiter unreadableLogs;
    private final AtomicLong accepted = new AtomicLong();
    private final Map<String, AcceptedLink> links = new ConcurrentHashMap<>();

    PeerLinkService(
            DutyInputQueue<CellInput> cell, FrameCodec frames, DaemonMetrics metrics, Clock clock) {
        this.cell = cell;
        this.frames = frames;
        this.metrics = metrics;
        this.clock = clock;
        this.unreadableLogs = new LogRateLimiter(clock, LOG_INTERVAL_MILLISECONDS);
    }

    @Override
    public StreamObserver<Frame> exchange(StreamObserver<Frame> responses) {
        AcceptedLink link =
                new AcceptedLink(
                        "accepted-" + accepted.incrementAndGet(),
                        (ServerCallStreamObserver<Frame>) responses,
                        this,
                        metrics,
                        clock);
        links.put(link.name(), link);
        return link;
    }

    @Override
    public void onFrame(AcceptedLink link, Frame frame) {
        switch (frame.getBodyCase()) {
            case HEARTBEAT -> link.send(frame);
            case REPLICATION -> acceptReplication(frame);
            case CELL_REQUEST -> acceptRequest(link, frame.getCellRequest());
            default -> {
                // Hello frames need no answer, and frames of later releases are ignored.
            }
        }
    }

    @Override
    public void onClosed(AcceptedLink link) {
        links.remove(link.name());
    }

    /** Sends a reply over the link on which its request arrived, if that link is still open. */
    void reply(OutgoingReply reply) {
        AcceptedLink link = links.get(reply.handle().link());
        if (link == null) {
            metrics.count(CountedEvent.REPLY_DROPPED);
            return;
        }
        link.send(frames.reply(reply.handle().correlation(), reply.reply()));
    }

    /** Closes the links on which nothing was received within the deadline. */
    void closeSilentLinks(long nowMilliseconds, long deadlineMilliseconds) {
        links.values().forEach(link -> link.closeIfSilent(nowMilliseconds, deadlineMilliseconds));
    }

    private void acceptReplication(Frame frame) {
        ReplicationEnvelope envelope = frames.replicationOf(frame);
        if (!cell.offer(new CellInput.Message(envelope))) {
            metrics.count(CountedEvent.MESSAGE_DROPPED);
        }
    }

    private void acceptRequest(AcceptedLink link, CellRequestFrame frame) {
        CellRequest request;
        try {
            request = frames.requestOf(frame);
        } catch (MarjoramnotchException unreadable) {
            logUnreadable(link, unreadable);
            link.send(frames.reply(frame.getCorrelation(), unreadableRequest()));
            return;
        }
        RequestHandle handle = new RequestHandle(link.name(), frame.getCorrelation());
        if (!cell.offer(new CellInput.Request(handle, request))) {
            link.send(frames.reply(frame.getCorrelation(), CellClient.overloaded()));
        }
    }

    private void logUnreadable(AcceptedLink link, MarjoramnotchException unreadable) {
        unreadableLogs
                .tryAcquire()
                .ifPresent(
                        suppressed ->
                                LogEvent.of("link_request_unreadable")
                                        .with("link", link.name())
                                        .with("message", unreadable.getMessage())
                                        .with("suppressed", suppressed)
                                        .warn(LOGGER));
    }

    /** The request was not run; a leader of another release may be able to read it. */
    private static Refused unreadableRequest() {
        return new Refused(
                Refusal.notRun(
                        ErrorCode.NO_LEADER,
                        "The leader cannot read the request; correct it, or send it again after"
                                + " the upgrade."));
    }
}
