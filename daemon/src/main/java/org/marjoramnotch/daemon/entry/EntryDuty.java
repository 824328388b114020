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

/** Carries callers' requests on one thread: starts them, applies events, watches deadlines. */
final class EntryDuty implements DutyHandler<EntryEvent> {
    /** Interval at which deadlines are looked at. */
    static final long TICK_MILLISECONDS = 50;

    /** How long after its deadline a request's endpoint is still awaited. */
    private static final long ABANDON_AFTER_MILLISECONDS = 30_000;

    private final VmId vm;
    private final String incarnation;
    private final EntryContext host;
    private final EntryLease lease;
    private final RetryBudgets budgets = new RetryBudgets();
    private final Map<Long, ActiveRequest> active = new HashMap<>();
    private final PriorityQueue<Deadline> deadlines =
            new PriorityQueue<>(Comparator.comparingLong(Deadline::atMilliseconds));
    private long nextAttempt = 1;
    private long nextRequest = 1;

    EntryDuty(VmId vm, String incarnation, EntryContext host) {
        this.vm = vm;
        this.incarnation = incarnation;
        this.host = host;
        this.lease = new EntryLease(vm, incarnation, host.client(), host.events(), this::revoke);
    }

    /** Returns the lease, whose state any thread may ask. */
    EntryLease lease() {
        return lease;
    }

    /** Starts a request. */
    void start(
            long nowMilliseconds,
            CallerRequest caller,
            CompletableFuture<CallerAnswer> result,
            Runnable ended) {
        long number = nextRequest++;
        RequestAttempts attempts =
                new RequestAttempts(
                        caller.request(),
                        () -> new AttemptId(vm, incarnation, nextAttempt++),
                        budgets.budgetFor(caller.request()));
        Runnable forget =
                () -> {
                    active.remove(number);
                    ended.run();
                };
        ActiveRequest request =
                new ActiveRequest(caller, attempts, host, result, forget, nowMilliseconds);
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
        host.reports().tick(nowMilliseconds);
    }

    /** Stops awaiting the endpoints of requests whose deadlines have passed. */
    void abandonExpired(long nowMilliseconds) {
        List.copyOf(active.values()).forEach(request -> request.onAbandon(nowMilliseconds));
    }

    /** Answers the caller; an endpoint that may run the request is awaited for a while longer. */
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
                host.events().accept(request::onCallerDisconnected);
            }
        }
    }

    private record Deadline(long atMilliseconds, long request, boolean abandon) {}
}
