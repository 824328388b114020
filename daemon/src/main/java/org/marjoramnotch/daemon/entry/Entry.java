package org.marjoramnotch.daemon.entry;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.marjoramnotch.daemon.duty.Duty;
import org.marjoramnotch.daemon.duty.DutyInputQueue;
import org.marjoramnotch.daemon.endpoint.AnswerReader;
import org.marjoramnotch.daemon.endpoint.EndpointConnectionLimiter;
import org.marjoramnotch.daemon.endpoint.EndpointConnector;
import org.marjoramnotch.daemon.link.CellClient;
import org.marjoramnotch.daemon.metrics.DaemonMetrics;
import org.marjoramnotch.daemon.transport.NetworkThreads;
import org.marjoramnotch.model.endpoint.SlotKind;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.Invariant;
import org.marjoramnotch.model.error.Refusal;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.time.Clock;

/** Accepts callers' requests within its limits and processes them on a duty of its own. */
public final class Entry {
    private static final long ANSWER_READ_TIMEOUT_MILLISECONDS = 600_000;

    private final EntryLimits limits;
    private final Clock clock;
    private final DutyInputQueue<EntryEvent> input;
    private final AttemptEndReporter reports;
    private final EntryDuty duty;
    private final AtomicInteger openRequests = new AtomicInteger();
    private final AtomicInteger openFeeds = new AtomicInteger();

    /** Creates an entry. Its duty must be started. */
    public Entry(
            VmId vm,
            String incarnation,
            EntryLimits limits,
            CellClient client,
            NetworkThreads threads,
            Clock clock,
            DaemonMetrics metrics) {
        this.limits = limits;
        this.clock = clock;
        this.input = new DutyInputQueue<>(limits.ringCapacity());
        this.reports = new AttemptEndReporter(client, this::enqueue, metrics);
        EntryContext context =
                new EntryContext(
                        client,
                        new EndpointConnector(threads),
                        new EndpointConnectionLimiter(limits.maximumConnectionsPerEndpoint()),
                        new AnswerReader(
                                limits.maximumAnswerBytes(), ANSWER_READ_TIMEOUT_MILLISECONDS),
                        reports,
                        this::enqueue,
                        metrics);
        this.duty = new EntryDuty(vm, incarnation, context);
    }

    /** Returns the duty that processes the requests, to be started. */
    public Duty<?> duty(Consumer<Throwable> failure) {
        return new Duty<>(input, duty, clock, EntryDuty.TICK_MILLISECONDS, failure);
    }

    /** Processes a request. The result always completes normally; failures are refusals. */
    public CompletionStage<CallerAnswer> submit(CallerRequest request) {
        boolean feed = request.request().kind() == SlotKind.FEED;
        AtomicInteger open = feed ? openFeeds : openRequests;
        int limit = feed ? limits.maximumOpenFeeds() : limits.maximumOpenRequests();
        if (open.incrementAndGet() > limit) {
            open.decrementAndGet();
            return CompletableFuture.completedFuture(overloaded());
        }
        CompletableFuture<CallerAnswer> result = new CompletableFuture<>();
        enqueue(now -> duty.start(now, request, result, open::decrementAndGet));
        return result;
    }

    /** Returns whether the leader has recently renewed the lease of this entry. */
    public boolean holdsLease() {
        return duty.lease().holds(clock.nowMilliseconds());
    }

    /**
     * Stops waiting for the endpoints of requests whose callers were answered at their deadlines.
     */
    public void abandonExpired() {
        enqueue(duty::abandonExpired);
    }

    /** Returns the number of open quick requests and unanswered reports. */
    public int openWork() {
        return openRequests.get() + reports.open();
    }

    /** Enqueues an event. The queue is sized to hold all events that can be pending at once. */
    private void enqueue(EntryEvent event) {
        Invariant.check(input.offer(event), "The event queue of the entry is full");
    }

    private static CallerAnswer overloaded() {
        return new CallerAnswer.Refused(
                Refusal.notRun(
                        ErrorCode.OVERLOADED,
                        "This entry has reached its limit of open requests; retry after a pause."));
    }
}
