package org.marjoramnotch.daemon.entry;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.concurrent.CompletableFuture;
import org.marjoramnotch.daemon.duty.DutyHandler;
import org.marjoramnotch.logic.entry.RequestAttempts;
import org.marjoramnotch.model.identifier.AttemptId;
import org.marjoramnotch.model.identifier.VmId;

/**
 * Processes callers' requests on one thread: starts them, applies events and enforces deadlines.
 */
final class EntryDuty implements DutyHandler<EntryEvent> {
    /** Interval at which deadlines are checked. */
    static final long TICK_MILLISECONDS = 50;

    /** Time after the deadline of a request for which its endpoint is still awaited. */
    private static final long ABANDON_AFTER_MILLISECONDS = 30_000;

    private final VmId vm;
    private final String incarnation;
    private final EntryContext context;
    private final EntryLease lease;
    private final RetryBudgets budgets = new RetryBudgets();
    private final Map<Long, ActiveRequest> active = new HashMap<>();
    private final PriorityQueue<Deadline> deadlines =
            new PriorityQueue<>(Comparator.comparingLong(Deadline::atMilliseconds));
    private long nextAttempt = 1;
    private long nextRequest = 1;

    EntryDuty(VmId vm, String incarnation, EntryContext context) {
        this.vm = vm;
        this.incarnation = incarnation;
        this.context = context;
        this.lease =
                new EntryLease(vm, incarnation, context.client(), context.events(), this::revoke);
    }

    /** Returns the lease, whose state can be read by any thread. */
    EntryLease lease() {
        return lease;
    }

    /** Starts a request and schedules its deadline. */
    void start(
            long nowMilliseconds,
            CallerRequest caller,
            CompletableFuture<CallerAnswer> result,
            Runnable onFinished) {
        long number = nextRequest++;
        RequestAttempts attempts =
                new RequestAttempts(
                        caller.request(),
                        () -> new AttemptId(vm, incarnation, nextAttempt++),
                        budgets.budgetFor(caller.request()));
        Runnable remove =
                () -> {
                    active.remove(number);
                    onFinished.run();
                };
        ActiveRequest request =
                new ActiveRequest(caller, attempts, context, result, remove, nowMilliseconds);
        active.put(number, request);
        deadlines.add(new Deadline(caller.request().deadlineMilliseconds(), number, false));
        request.start(nowMilliseconds);
    }

    @Override
    public void receive(long nowMilliseconds, EntryEvent event) {
        event.apply(nowMilliseconds);
    }

    @Override
    public void flush(long nowMilliseconds) {}

    @Override
    public void tick(long nowMilliseconds) {
        Deadline first = deadlines.peek();
        while (first != null && first.atMilliseconds() <= nowMilliseconds) {
            deadlines.remove();
            ActiveRequest due = active.get(first.request());
            if (due != null) {
                expire(nowMilliseconds, first, due);
            }
            first = deadlines.peek();
        }
        lease.tick(nowMilliseconds);
        context.reports().tick(nowMilliseconds);
    }

    /** Stops waiting for the endpoints of requests whose deadlines have passed. */
    void abandonExpired(long nowMilliseconds) {
        List.copyOf(active.values()).forEach(request -> request.onAbandon(nowMilliseconds));
    }

    /**
     * Answers the caller at the deadline. An endpoint that may be running the request is awaited
     * for another {@link #ABANDON_AFTER_MILLISECONDS}.
     */
    private void expire(long nowMilliseconds, Deadline deadline, ActiveRequest due) {
        if (deadline.abandon()) {
            due.onAbandon(nowMilliseconds);
            return;
        }
        due.onDeadline(nowMilliseconds);
        long abandonAt = nowMilliseconds + ABANDON_AFTER_MILLISECONDS;
        deadlines.add(new Deadline(abandonAt, deadline.request(), true));
    }

    private void revoke(AttemptId attempt) {
        for (ActiveRequest request : List.copyOf(active.values())) {
            if (request.attempt().equals(attempt)) {
                context.events().accept(request::onCallerDisconnected);
            }
        }
    }

    private record Deadline(long atMilliseconds, long request, boolean abandon) {}
}
