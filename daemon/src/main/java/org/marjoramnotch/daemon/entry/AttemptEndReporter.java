package org.marjoramnotch.daemon.entry;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.marjoramnotch.daemon.link.CellClient;
import org.marjoramnotch.daemon.metrics.CountedEvent;
import org.marjoramnotch.daemon.metrics.DaemonMetrics;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.Done;
import org.marjoramnotch.model.message.EndAttempt;

/**
 * Reports the ends of attempts to the leader and resends each report until it is answered. Must be
 * used by one thread only, except {@link #open}.
 */
final class AttemptEndReporter {
    private static final long REPORT_TIMEOUT_MILLISECONDS = 5_000;

    private final CellClient client;
    private final Consumer<EntryEvent> events;
    private final DaemonMetrics metrics;
    private final Queue<EndAttempt> toResend = new ArrayDeque<>();
    private final AtomicInteger open = new AtomicInteger();

    AttemptEndReporter(CellClient client, Consumer<EntryEvent> events, DaemonMetrics metrics) {
        this.client = client;
        this.events = events;
        this.metrics = metrics;
    }

    /**
     * Reports an end. The report is dropped and counted as such if {@link
     * EntryLimits#MAXIMUM_OPEN_REPORTS} reports are unanswered.
     */
    void report(long nowMilliseconds, EndAttempt end) {
        if (open.get() >= EntryLimits.MAXIMUM_OPEN_REPORTS) {
            metrics.count(CountedEvent.END_REPORT_DROPPED);
            return;
        }
        open.incrementAndGet();
        send(nowMilliseconds, end);
    }

    /** Resends the reports that the leader has not answered. */
    void tick(long nowMilliseconds) {
        int count = toResend.size();
        for (int sent = 0; sent < count; sent++) {
            send(nowMilliseconds, toResend.remove());
        }
    }

    /** Returns the number of unanswered reports. Can be called by any thread. */
    int open() {
        return open.get();
    }

    private void send(long nowMilliseconds, EndAttempt end) {
        client.send(end, nowMilliseconds + REPORT_TIMEOUT_MILLISECONDS)
                .thenAccept(reply -> events.accept(now -> onReply(end, reply)));
    }

    private void onReply(EndAttempt end, CellReply reply) {
        if (reply instanceof Done) {
            open.decrementAndGet();
        } else {
            toResend.add(end);
        }
    }
}
