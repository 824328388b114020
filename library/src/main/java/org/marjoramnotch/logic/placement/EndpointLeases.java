package org.marjoramnotch.logic.placement;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.model.command.RemoveEndpoint;
import org.marjoramnotch.model.endpoint.OpenAttempt;
import org.marjoramnotch.model.endpoint.SlotKind;
import org.marjoramnotch.model.identifier.EndpointId;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.message.EndAttempt;

/** Tracks the leases and the health of the registered endpoints. */
final class EndpointLeases {
    private final PlacementContext context;
    private final long leaseMilliseconds;
    private final Map<EndpointId, TrackedEndpoint> endpoints = new HashMap<>();
    private final Map<ServiceName, ServiceHealth> serviceHealth = new HashMap<>();
    private final Set<EndpointId> withLeaseTimer = new HashSet<>();
    private final PriorityQueue<Timer> leaseTimers = new PriorityQueue<>(Timer.ORDER);
    private final PriorityQueue<Timer> probeTimers = new PriorityQueue<>(Timer.ORDER);

    private record Timer(long dueMilliseconds, EndpointId endpoint) {
        private static final Comparator<Timer> ORDER =
                Comparator.comparingLong(Timer::dueMilliseconds).thenComparing(Timer::endpoint);
    }

    EndpointLeases(PlacementContext context, long termStartMilliseconds) {
        this.context = context;
        this.leaseMilliseconds = context.settings().endpointLeaseMilliseconds();
        for (EndpointSlots slots : context.state().endpoints()) {
            TrackedEndpoint tracked = add(slots, termStartMilliseconds + leaseMilliseconds);
            context.pools().refreshEndpoint(tracked, termStartMilliseconds);
        }
    }

    ServiceHealth health(ServiceName service) {
        return serviceHealth.computeIfAbsent(service, name -> new ServiceHealth());
    }

    Optional<TrackedEndpoint> find(EndpointId endpoint) {
        return Optional.ofNullable(endpoints.get(endpoint));
    }

    private TrackedEndpoint add(EndpointSlots slots, long leaseUntilMilliseconds) {
        ServiceHealth service = health(slots.description().service());
        service.onEndpointAdded();
        TrackedEndpoint tracked =
                new TrackedEndpoint(slots, new EndpointHealth(service), leaseUntilMilliseconds);
        endpoints.put(tracked.id(), tracked);
        if (withLeaseTimer.add(tracked.id())) {
            leaseTimers.add(new Timer(leaseUntilMilliseconds, tracked.id()));
        }
        return tracked;
    }

    private void remove(TrackedEndpoint tracked) {
        endpoints.remove(tracked.id());
        tracked.health().onReplaced();
        health(tracked.service()).onEndpointRemoved();
        context.pools().removeEndpoint(tracked);
    }

    /** Handles the registration, change or restart of an endpoint in the ledger. */
    void onRegistered(EndpointSlots slots, long nowMilliseconds) {
        EndpointId id = slots.description().endpoint();
        @Nullable TrackedEndpoint tracked = endpoints.get(id);
        if (tracked != null && tracked.isReplacedBy(slots)) {
            remove(tracked);
            tracked = null;
        }
        if (tracked == null) {
            tracked = add(slots, nowMilliseconds);
        } else if (tracked.updateIncarnation()) {
            tracked.health().onReplaced();
        }
        context.pools().refreshEndpoint(tracked, nowMilliseconds);
        context.pools().refreshTeams(tracked.service());
    }

    /** Handles a removal command; does nothing if the endpoint is still in the ledger. */
    void onRemoved(EndpointId endpoint) {
        if (context.state().endpoint(endpoint).isEmpty()) {
            find(endpoint).ifPresent(this::remove);
        }
    }

    /** Renews a lease, counted from the arrival of the announcement. */
    void renew(TrackedEndpoint tracked, long announcedMilliseconds) {
        tracked.renew(announcedMilliseconds + leaseMilliseconds);
    }

    void refresh(EndpointId endpoint, long nowMilliseconds) {
        find(endpoint)
                .ifPresent(tracked -> context.pools().refreshEndpoint(tracked, nowMilliseconds));
    }

    /** Places requests that wait for slots of the endpoint's service. */
    void placeWaiting(TrackedEndpoint tracked, long nowMilliseconds, LeaderOutput output) {
        for (SlotKind kind : SlotKind.values()) {
            context.placer()
                    .placeWaiting(nowMilliseconds, new SlotPoolId(tracked.service(), kind), output);
        }
    }

    /** Handles the result of an attempt. */
    void onResult(long nowMilliseconds, OpenAttempt open, EndAttempt end, LeaderOutput output) {
        @Nullable TrackedEndpoint tracked = endpoints.get(open.endpoint());
        if (tracked == null) {
            return;
        }
        boolean request = open.kind() == SlotKind.REQUEST;
        long ranMilliseconds = request ? end.runMilliseconds() : 0;
        tracked.health()
                .onResult(nowMilliseconds, end.attempt(), end.endpointFailed(), ranMilliseconds)
                .ifPresent(
                        backoff ->
                                probeTimers.add(
                                        new Timer(nowMilliseconds + backoff, open.endpoint())));
        context.pools().refreshEndpoint(tracked, nowMilliseconds);
        placeWaiting(tracked, nowMilliseconds, output);
    }

    /** Handles the end of an attempt that says nothing about the health of its endpoint. */
    void onEndedWithoutResult(OpenAttempt open) {
        find(open.endpoint())
                .ifPresent(tracked -> tracked.health().onEndedWithoutResult(open.attempt()));
    }

    /** Handles expired leases and ended quarantine backoffs. */
    void onTick(long nowMilliseconds, LeaderOutput output) {
        while (!leaseTimers.isEmpty() && leaseTimers.peek().dueMilliseconds() <= nowMilliseconds) {
            onLeaseTimer(nowMilliseconds, leaseTimers.poll().endpoint(), output);
        }
        while (!probeTimers.isEmpty() && probeTimers.peek().dueMilliseconds() <= nowMilliseconds) {
            find(probeTimers.poll().endpoint())
                    .ifPresent(tracked -> startProbing(tracked, nowMilliseconds, output));
        }
    }

    private void startProbing(TrackedEndpoint tracked, long nowMilliseconds, LeaderOutput output) {
        tracked.health().startProbing();
        context.pools().refreshEndpoint(tracked, nowMilliseconds);
        placeWaiting(tracked, nowMilliseconds, output);
    }

    private void onLeaseTimer(long nowMilliseconds, EndpointId endpoint, LeaderOutput output) {
        @Nullable TrackedEndpoint tracked = endpoints.get(endpoint);
        if (tracked == null) {
            withLeaseTimer.remove(endpoint);
            return;
        }
        if (tracked.hasValidLease(nowMilliseconds)) {
            leaseTimers.add(new Timer(tracked.leaseUntilMilliseconds(), endpoint));
            return;
        }
        context.pools().refreshEndpoint(tracked, nowMilliseconds);
        long removal = context.settings().endpointRemovalMilliseconds();
        long removableMilliseconds = tracked.leaseUntilMilliseconds() + removal;
        boolean removable = nowMilliseconds >= removableMilliseconds;
        if (removable && tracked.slots().attempts().isEmpty()) {
            output.propose(new RemoveEndpoint(endpoint, tracked.incarnation()));
        }
        leaseTimers.add(
                new Timer(removable ? nowMilliseconds + removal : removableMilliseconds, endpoint));
    }
}
