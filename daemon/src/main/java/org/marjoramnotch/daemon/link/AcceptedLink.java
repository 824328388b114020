package org.marjoramnotch.daemon.link;

import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import java.util.ArrayDeque;
import org.jboss.logging.Logger;
import org.marjoramnotch.daemon.log.LogEvent;
import org.marjoramnotch.daemon.metrics.CountedEvent;
import org.marjoramnotch.daemon.metrics.DaemonMetrics;
import org.marjoramnotch.model.time.Clock;
import org.marjoramnotch.wire.generated.Frame;

/** A link that another process opened to this replica. */
final class AcceptedLink implements StreamObserver<Frame> {
    private static final int MAXIMUM_BACKLOG_FRAMES = 4096;
    private static final Logger LOGGER = Logger.getLogger(AcceptedLink.class);

    private final String name;
    private final ServerCallStreamObserver<Frame> responses;
    private final AcceptedLinkListener listener;
    private final DaemonMetrics metrics;
    private final Clock clock;
    private final ArrayDeque<Frame> backlog = new ArrayDeque<>();
    private volatile long lastReceivedMilliseconds;
    private boolean closed;

    AcceptedLink(
            String name,
            ServerCallStreamObserver<Frame> responses,
            AcceptedLinkListener frames,
            DaemonMetrics metrics,
            Clock clock) {
        this.name = name;
        this.responses = responses;
        this.listener = frames;
        this.metrics = metrics;
        this.clock = clock;
        this.lastReceivedMilliseconds = clock.nowMilliseconds();
        responses.setOnReadyHandler(this::flush);
    }

    /** Returns the name that identifies this link in the handles of its requests. */
    String name() {
        return name;
    }

    @Override
    public void onNext(Frame frame) {
        lastReceivedMilliseconds = clock.nowMilliseconds();
        try {
            listener.onFrame(this, frame);
        } catch (RuntimeException failure) {
            LogEvent.of("link_frame_refused")
                    .with("link", name)
                    .with("message", failure.getMessage())
                    .warn(LOGGER);
            abort(Status.INVALID_ARGUMENT);
        }
    }

    @Override
    public void onError(Throwable failure) {
        end();
    }

    @Override
    public void onCompleted() {
        end();
    }

    /**
     * Sends a frame, or queues it until the other side accepts more. The queue is bounded: the
     * oldest frame is dropped when it is full.
     */
    synchronized void send(Frame frame) {
        if (closed) {
            metrics.count(CountedEvent.REPLY_DROPPED);
            return;
        }
        if (backlog.size() >= MAXIMUM_BACKLOG_FRAMES) {
            backlog.removeFirst();
            metrics.count(CountedEvent.REPLY_DROPPED);
        }
        backlog.add(frame);
        flush();
    }

    /** Closes the link if nothing was received within the deadline. */
    void closeIfSilent(long nowMilliseconds, long deadlineMilliseconds) {
        if (nowMilliseconds - lastReceivedMilliseconds > deadlineMilliseconds) {
            abort(Status.DEADLINE_EXCEEDED);
        }
    }

    private synchronized void flush() {
        while (!closed && !backlog.isEmpty() && responses.isReady()) {
            responses.onNext(backlog.removeFirst());
        }
    }

    private synchronized void abort(Status status) {
        if (!closed) {
            end();
            responses.onError(status.asRuntimeException());
        }
    }

    private synchronized void end() {
        closed = true;
        backlog.clear();
        listener.onClosed(this);
    }
}
