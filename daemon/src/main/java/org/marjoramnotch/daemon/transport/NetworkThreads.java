package org.marjoramnotch.daemon.transport;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** The threads that serve all HTTP connections of a process, and its timers. */
public final class NetworkThreads implements AutoCloseable {
    private static final int THREADS = 2;
    private static final long CLOSE_MILLISECONDS = 1_000;

    private final WatchedThreadFactory factory;
    private final EventLoopGroup group;

    /** Creates threads whose failures have no consequences. */
    public NetworkThreads() {
        this(thrown -> {});
    }

    /**
     * Creates threads.
     *
     * @param failure is told when a thread ends that should not
     */
    public NetworkThreads(Consumer<Throwable> failure) {
        factory = new WatchedThreadFactory("http", failure);
        group = new NioEventLoopGroup(THREADS, factory);
    }

    /** Returns the event loops for connections. */
    public EventLoopGroup group() {
        return group;
    }

    /** Returns an executor of short tasks. */
    public Executor executor() {
        return group;
    }

    /** Runs a short task after a pause. */
    public void runLater(long milliseconds, Runnable task) {
        group.schedule(task, milliseconds, TimeUnit.MILLISECONDS);
    }

    /** Closes all connections and stops the threads. */
    @Override
    public void close() {
        factory.stop();
        group.shutdownGracefully(0, CLOSE_MILLISECONDS, TimeUnit.MILLISECONDS);
    }
}
