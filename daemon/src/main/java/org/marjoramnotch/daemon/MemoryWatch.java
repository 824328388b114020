package org.marjoramnotch.daemon;

import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.daemon.log.LogEvent;
import org.marjoramnotch.daemon.log.ProcessOutput;
import org.marjoramnotch.daemon.metrics.HeapUse;
import org.marjoramnotch.logic.budget.CollectionShare;
import org.marjoramnotch.model.time.Clock;

/**
 * Ends a process that does little else than collect garbage: it neither serves nor ends, and
 * whoever restarts processes does not notice it.
 */
final class MemoryWatch implements Runnable {
    private static final Logger LOGGER = Logger.getLogger(MemoryWatch.class);
    private static final long INTERVAL_MILLISECONDS = 1_000;
    private static final long DRAIN_MILLISECONDS = 200;

    /** The collectors are asked only below this share of free heap, which a collection restores. */
    private static final double SHORT_SHARE = 0.15;

    /** More than it takes to end the process. */
    private static final int RESERVE_BYTES = 128 * 1024;

    private final CollectionShare share = new CollectionShare();

    /** Freed before the process is ended for want of memory. */
    private volatile byte @Nullable [] reserve = new byte[RESERVE_BYTES];

    private final Clock clock;
    private final Consumer<Throwable> failure;

    private MemoryWatch(Clock clock, Consumer<Throwable> failure) {
        this.clock = clock;
        this.failure = failure;
    }

    /** Starts the watch in a thread of its own. */
    static void start(Clock clock, Consumer<Throwable> failure) {
        Thread thread = new Thread(new MemoryWatch(clock, failure), "memory-watch");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void run() {
        try {
            while (true) {
                Thread.sleep(INTERVAL_MILLISECONDS);
                check();
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException | Error failed) {
            // Without memory the collectors can't be asked; even the first call of a method takes
            // some.
            reserve = null;
            failure.accept(failed);
        }
    }

    private void check() {
        if (HeapUse.freeShare() > SHORT_SHARE) {
            share.onEnoughFree();
            return;
        }
        CollectionShare.Finding finding =
                share.update(clock.nowMilliseconds(), collectionMilliseconds());
        if (finding == CollectionShare.Finding.NONE) {
            return;
        }
        LogEvent.of("memory_short")
                .with("finding", finding)
                .with("free_percent", Math.round(HeapUse.freeShare() * 100))
                .with("collecting_percent", Math.round(share.latest() * 100))
                .warn(LOGGER);
        if (finding == CollectionShare.Finding.EXHAUSTED) {
            ProcessOutput.drain(DRAIN_MILLISECONDS);
            failure.accept(new OutOfMemoryError("the process only collects garbage"));
        }
    }

    private static long collectionMilliseconds() {
        long total = 0;
        for (GarbageCollectorMXBean collector : ManagementFactory.getGarbageCollectorMXBeans()) {
            total += Math.max(0, collector.getCollectionTime());
        }
        return total;
    }
}
