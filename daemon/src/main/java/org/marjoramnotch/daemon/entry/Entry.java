package org.marjoramnotch.daemon.entry;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.actor.typed.Behavior;
import org.marjoramnotch.daemon.duty.Duty;
import org.marjoramnotch.daemon.duty.DutyInputQueue;
import org.marjoramnotch.daemon.endpoint.AnswerReader;
import org.marjoramnotch.daemon.endpoint.EndpointConnectionLimiter;
import org.marjoramnotch.daemon.endpoint.EndpointConnector;
import org.marjoramnotch.daemon.link.CellClient;
import org.marjoramnotch.daemon.metrics.DaemonMetrics;
import org.marjoramnotch.model.endpoint.SlotKind;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.Invariant;
import org.marjoramnotch.model.error.Refusal;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.time.Clock;

/** Takes callers' requests, up to its bounds, and carries them on a duty of its own. */
public final class Entry {
    private static final long ANSWER_READ_TIMEOUT_MILLISECONDS = 600_000;

    private final EntryLimits limits;
    private final Clock clock;
    private final DutyInputQueue<EntryEvent> input;
    private final AttemptEndReporter reports;
    private final EntryDuty duty;
    private final AtomicInteger openRequests = new AtomicInteger();
    private final AtomicInteger openFeeds = new AtomicInteger();

    /** Creates an entry whose duty is still to be started. */
    public Entry(
            VmId vm,
            String incarnation,
            EntryLimits limits,
            CellClient client,
            ActorSystem system,
            Clock clock,
            DaemonMetrics metrics) {
        this.limits = limits;
        this.clock = clock;
        this.input = new DutyInputQueue<>(limits.ringCapacity());
        this.reports = new AttemptEndReporter(client, this::enqueue, metrics);
        EntryContext host =
                new EntryContext(
                        client,
                        new EndpointConnector(system),
                        new EndpointConnectionLimiter(limits.maximumConnectionsPerEndpoint()),
                        new AnswerReader(
                                system,
                                limits.maximumAnswerBytes(),
                                ANSWER_READ_TIMEOUT_MILLISECONDS),
                        reports,
                        this::enqueue,
                        metrics);
        this.duty = new EntryDuty(vm, incarnation, host);
    }

    /** Returns the actor of the duty, for a pinned dispatcher. */
    public Behavior<Duty.Turn> behavior(Consumer<Throwable> failure) {
        return Duty.create(input, duty, clock, EntryDuty.TICK_MILLISECONDS, failure);
    }

    /** Carries a request; the result is always completed normally. */
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

    /** Tells whether the leader has renewed this entry's lease lately. */
    public boolean holdsLease() {
        return duty.lease().holds(clock.nowMilliseconds());
    }

    /** Stops awaiting the endpoints of requests whose callers were answered at their deadlines. */
    public void abandonExpired() {
        enqueue(duty::abandonExpired);
    }

    /** Returns how many quick requests and unanswered reports are open. */
    public int openWork() {
        return openRequests.get() + reports.open();
    }

    /** Takes an event; the ring is sized so that it holds all that there can be at once. */
    private void enqueue(EntryEvent event) {
        Invariant.check(input.offer(event), "The ring of the entry is full");
    }

    private static CallerAnswer overloaded() {
        return new CallerAnswer.Refused(
                Refusal.notRun(
                        ErrorCode.OVERLOADED,
                        "This entry holds as many requests as it may; retry after a pause."));
    }
}
