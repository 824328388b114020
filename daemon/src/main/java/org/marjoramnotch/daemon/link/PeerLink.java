package org.marjoramnotch.daemon.link;

import java.util.ArrayDeque;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.daemon.duty.DutyHandler;
import org.marjoramnotch.daemon.duty.DutyInputQueue;
import org.marjoramnotch.daemon.log.LogEvent;
import org.marjoramnotch.daemon.metrics.CountedEvent;
import org.marjoramnotch.daemon.metrics.DaemonMetrics;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.wire.FrameCodec;
import org.marjoramnotch.wire.generated.Frame;

/**
 * Maintains a link to one replica: opens it, sends heartbeats while it is idle, and replaces it
 * with a new connection when nothing was received within the deadline.
 */
final class PeerLink implements DutyHandler<Frame> {
    /**
     * The number of heartbeats that an idle link sends within its deadline; other frames replace
     * them.
     */
    private static final long HEARTBEATS_PER_DEADLINE = 3;

    private static final long TICKS_PER_DEADLINE = 6;
    private static final int MAXIMUM_BACKLOG_FRAMES = 4096;
    private static final Logger LOGGER = Logger.getLogger(PeerLink.class);

    private final VmId replica;
    private final DutyInputQueue<Frame> input;
    private final LinkConnector connector;
    private final FrameCodec frames;
    private final DaemonMetrics metrics;
    private final Runnable onLost;
    private final long deadlineMilliseconds;
    private final ArrayDeque<Frame> backlog = new ArrayDeque<>();
    private volatile @Nullable LinkConnection connection;
    private long openedMilliseconds;
    private long lastSentMilliseconds;
    private long heartbeatSequence;
    private boolean loggedDown;

    PeerLink(
            VmId replica,
            DutyInputQueue<Frame> input,
            LinkConnector connector,
            FrameCodec frames,
            DaemonMetrics metrics,
            Runnable onLost,
            long deadlineMilliseconds) {
        this.replica = replica;
        this.input = input;
        this.connector = connector;
        this.frames = frames;
        this.metrics = metrics;
        this.onLost = onLost;
        this.deadlineMilliseconds = deadlineMilliseconds;
    }

    /** Returns the interval at which a link must be ticked, in milliseconds. */
    static long tickMilliseconds(long deadlineMilliseconds) {
        return Math.max(1, deadlineMilliseconds / TICKS_PER_DEADLINE);
    }

    /**
     * Accepts a frame for sending; returns false if the link is down or full. May be called by any
     * thread.
     */
    boolean offer(Frame frame) {
        LinkConnection current = connection;
        return current != null && current.hasReceivedFrame() && input.offer(frame);
    }

    @Override
    public void receive(long nowMilliseconds, Frame frame) {
        if (backlog.size() >= MAXIMUM_BACKLOG_FRAMES) {
            backlog.removeFirst();
            metrics.count(CountedEvent.MESSAGE_DROPPED);
        }
        backlog.add(frame);
    }

    @Override
    public void flush(long nowMilliseconds) {
        LinkConnection current = connection;
        if (current == null) {
            dropBacklog();
            return;
        }
        while (!backlog.isEmpty() && current.isReady()) {
            current.send(backlog.removeFirst());
            lastSentMilliseconds = nowMilliseconds;
        }
    }

    @Override
    public void tick(long nowMilliseconds) {
        LinkConnection current = connection;
        if (current != null && isBroken(nowMilliseconds, current)) {
            replace(current);
            current = null;
        }
        if (current == null) {
            connection = connector.open(input::wake);
            openedMilliseconds = nowMilliseconds;
            lastSentMilliseconds = nowMilliseconds;
        } else if (current.isReady() && isIdle(nowMilliseconds, current)) {
            current.send(frames.heartbeat(++heartbeatSequence));
            lastSentMilliseconds = nowMilliseconds;
        }
        if (loggedDown && current != null && current.hasReceivedFrame()) {
            loggedDown = false;
            LogEvent.of("link_up").with("replica", replica).info(LOGGER);
        }
    }

    /** Closes the link permanently. */
    void close() {
        LinkConnection current = connection;
        connection = null;
        if (current != null) {
            current.close();
        }
    }

    private boolean isBroken(long nowMilliseconds, LinkConnection current) {
        long lastContact = Math.max(openedMilliseconds, current.lastReceivedMilliseconds());
        return current.isClosed() || nowMilliseconds - lastContact > deadlineMilliseconds;
    }

    /** Returns whether nothing was sent or nothing was received for one heartbeat interval. */
    private boolean isIdle(long nowMilliseconds, LinkConnection current) {
        long interval = deadlineMilliseconds / HEARTBEATS_PER_DEADLINE;
        return nowMilliseconds - lastSentMilliseconds >= interval
                || nowMilliseconds - current.lastReceivedMilliseconds() >= interval;
    }

    private void replace(LinkConnection broken) {
        connection = null;
        broken.close();
        dropBacklog();
        metrics.count(CountedEvent.LINK_REPLACED);
        onLost.run();
        if (!loggedDown) {
            loggedDown = true;
            LogEvent.of("link_replaced")
                    .with("replica", replica)
                    .with("cause", broken.isClosed() ? "closed" : "silent")
                    .warn(LOGGER);
        }
    }

    private void dropBacklog() {
        backlog.forEach(frame -> metrics.count(CountedEvent.MESSAGE_DROPPED));
        backlog.clear();
    }
}
