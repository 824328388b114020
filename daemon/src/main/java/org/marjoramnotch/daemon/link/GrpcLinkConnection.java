package org.marjoramnotch.daemon.link;

import io.grpc.ManagedChannel;
import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;
import java.util.List;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.model.time.Clock;
import org.marjoramnotch.wire.generated.Frame;
import org.marjoramnotch.wire.generated.PeerLinkGrpc;

/** A connection of a link over a gRPC channel of its own. */
final class GrpcLinkConnection implements LinkConnection, ClientResponseObserver<Frame, Frame> {
    private final ManagedChannel channel;
    private final Clock clock;
    private final Consumer<Frame> received;
    private final Runnable ready;
    private volatile @Nullable ClientCallStreamObserver<Frame> requests;
    private volatile long lastReceivedMilliseconds;
    private volatile boolean hasReceivedFrame;
    private volatile boolean closed;

    private GrpcLinkConnection(
            ManagedChannel channel, Clock clock, Consumer<Frame> received, Runnable ready) {
        this.channel = channel;
        this.clock = clock;
        this.received = received;
        this.ready = ready;
        this.lastReceivedMilliseconds = clock.nowMilliseconds();
    }

    /** Starts the exchange on a channel; the connection takes ownership of the channel. */
    static GrpcLinkConnection start(
            ManagedChannel channel,
            Clock clock,
            List<Frame> greeting,
            Consumer<Frame> received,
            Runnable ready) {
        GrpcLinkConnection connection = new GrpcLinkConnection(channel, clock, received, ready);
        PeerLinkGrpc.newStub(channel).exchange(connection);
        greeting.forEach(connection::send);
        return connection;
    }

    @Override
    public void beforeStart(ClientCallStreamObserver<Frame> stream) {
        requests = stream;
        stream.setOnReadyHandler(ready);
    }

    @Override
    public void onNext(Frame frame) {
        lastReceivedMilliseconds = clock.nowMilliseconds();
        hasReceivedFrame = true;
        received.accept(frame);
    }

    @Override
    public void onError(Throwable failure) {
        closed = true;
    }

    @Override
    public void onCompleted() {
        closed = true;
    }

    @Override
    public boolean isReady() {
        ClientCallStreamObserver<Frame> stream = requests;
        return stream != null && !closed && stream.isReady();
    }

    @Override
    public void send(Frame frame) {
        ClientCallStreamObserver<Frame> stream = requests;
        if (stream != null && !closed) {
            stream.onNext(frame);
        }
    }

    @Override
    public long lastReceivedMilliseconds() {
        return lastReceivedMilliseconds;
    }

    @Override
    public boolean hasReceivedFrame() {
        return hasReceivedFrame;
    }

    @Override
    public boolean isClosed() {
        return closed;
    }

    @Override
    public void close() {
        closed = true;
        channel.shutdownNow();
    }
}
