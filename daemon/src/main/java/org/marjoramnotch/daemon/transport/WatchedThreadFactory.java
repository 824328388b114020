package org.marjoramnotch.daemon.transport;

import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.function.Consumer;

/**
 * Creates the threads of event loops. An event loop that fails ends its thread without an uncaught
 * exception, and its connections are served no more; this is reported as a failure.
 */
public final class WatchedThreadFactory extends DefaultThreadFactory {
    private final Consumer<Throwable> failure;
    private volatile boolean stopping;

    /**
     * Creates a factory of daemon threads.
     *
     * @param failure receives the failure, on the thread that ends
     */
    public WatchedThreadFactory(String name, Consumer<Throwable> failure) {
        super(name, true);
        this.failure = failure;
    }

    /** Expects the threads to end from now on. */
    public void stop() {
        stopping = true;
    }

    @Override
    public Thread newThread(Runnable task) {
        return super.newThread(() -> run(task));
    }

    private void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error thrown) {
            failure.accept(thrown);
        }
        if (!stopping) {
            failure.accept(new IllegalStateException("The event loop has ended."));
        }
    }
}
