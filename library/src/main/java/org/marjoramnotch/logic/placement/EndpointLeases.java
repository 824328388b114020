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
    private final Map<EndpointId, TrackedEndpoint> loads = new HashMap<>();
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
            TrackedEndpoint load = add(slots, termStartMilliseconds + leaseMilliseconds);
            context.pools().refreshEndpoint(load, termStartMilliseconds);
        }
    }

    ServiceHealth health(ServiceName service) {
        return serviceHealth.computeIfAbsent(service, name -> new ServiceHealth());
    }

    Optional<TrackedEndpoint> find(EndpointId endpoint) {
        return Optional.ofNullable(loads.get(endpoint));
    }

    private TrackedEndpoint add(EndpointSlots slots, long leaseUntilMilliseconds) {
        ServiceHealth service = health(slots.description().service());
        service.onEndpointAdded();
        TrackedEndpoint load =
                new TrackedEndpoint(slots, new EndpointHealth(service), leaseUntilMilliseconds);
        loads.put(load.id(), load);
        if (withLeaseTimer.add(load.id())) {
            leaseTimers.add(new Timer(leaseUntilMilliseconds, load.id()));
        }
        return load;
    }

    private void remove(TrackedEndpoint load) {
        loads.remove(load.id());
        load.health().onReplaced();
        health(load.service()).onEndpointRemoved();
        context.pools().removeEndpoint(load);
    }

    /** Handles the registration, change or restart of an endpoint in the ledger. */
    void onRegistered(EndpointSlots slots, long nowMilliseconds) {
        EndpointId id = slots.description().endpoint();
        @Nullable TrackedEndpoint load = loads.get(id);
        if (load != null && load.isReplacedBy(slots)) {
            remove(load);
            load = null;
        }
        if (load == null) {
            load = add(slots, nowMilliseconds);
        } else if (load.updateIncarnation()) {
            load.health().onReplaced();
        }
        context.pools().refreshEndpoint(load, nowMilliseconds);
        context.pools().refreshTeams(load.service());
    }

    /** Handles a removal command; does nothing if the endpoint is still in the ledger. */
    void onRemoved(EndpointId endpoint) {
        if (context.state().endpoint(endpoint).isEmpty()) {
            find(endpoint).ifPresent(this::remove);
        }
    }

    /** Renews a lease, counted from the arrival of the announcement. */
    void renew(TrackedEndpoint load, long announcedMilliseconds) {
        load.renew(announcedMilliseconds + leaseMilliseconds);
    }

    void refresh(EndpointId endpoint, long nowMilliseconds) {
        find(endpoint).ifPresent(load -> context.pools().refreshEndpoint(load, nowMilliseconds));
    }

    /** Places requests that wait for slots of the endpoint's service. */
    void placeWaiting(TrackedEndpoint load, long nowMilliseconds, LeaderOutput output) {
        for (SlotKind kind : SlotKind.values()) {
            context.placer()
                    .placeWaiting(nowMilliseconds, new SlotPoolId(load.service(), kind), output);
        }
    }

    /** Handles the result of an attempt. */
    void onResult(long nowMilliseconds, OpenAttempt open, EndAttempt end, LeaderOutput output) {
        @Nullable TrackedEndpoint load = loads.get(open.endpoint());
        if (load == null) {
            return;
        }
        boolean request = open.kind() == SlotKind.REQUEST;
        long ranMilliseconds = request ? end.runMilliseconds() : 0;
        load.health()
                .onResult(nowMilliseconds, end.attempt(), end.endpointFailed(), ranMilliseconds)
                .ifPresent(
                        backoff ->
                                probeTimers.add(
                                        new Timer(nowMilliseconds + backoff, open.endpoint())));
        context.pools().refreshEndpoint(load, nowMilliseconds);
        placeWaiting(load, nowMilliseconds, output);
    }

    /** Handles the end of an attempt that says nothing about the health of its endpoint. */
    void onEndedWithoutResult(OpenAttempt open) {
        find(open.endpoint()).ifPresent(load -> load.health().onEndedWithoutResult(open.attempt()));
    }

    /** Handles expired leases and ended quarantine backoffs. */
    void onTick(long nowMilliseconds, LeaderOutput output) {
        while (!leaseTimers.isEmpty() && leaseTimers.peek().dueMilliseconds() <= nowMilliseconds) {
            onLeaseTimer(nowMilliseconds, leaseTimers.poll().endpoint(), output);
        }
        while (!probeTimers.isEmpty() && probeTimers.peek().dueMilliseconds() <= nowMilliseconds) {
            find(probeTimers.poll().endpoint())
                    .ifPresent(load -> startProbing(load, nowMilliseconds, output));
        }
    }

    private void startProbing(TrackedEndpoint load, long nowMilliseconds, LeaderOutput output) {
        load.health().startProbing();
        context.pools().refreshEndpoint(load, nowMilliseconds);
        placeWaiting(load, nowMilliseconds, output);
    }

    private void onLeaseTimer(long nowMilliseconds, EndpointId endpoint, LeaderOutput output) {
        @Nullable TrackedEndpoint load = loads.get(endpoint);
        if (load == null) {
            withLeaseTimer.remove(endpoint);
            return;
        }
        if (load.isLive(nowMilliseconds)) {
            leaseTimers.add(new Timer(load.leaseUntilMilliseconds(), endpoint));
            return;
        }
        context.pools().refreshEndpoint(load, nowMilliseconds);
        long removal = context.settings().endpointRemovalMilliseconds();
        long removableMilliseconds = load.leaseUntilMilliseconds() + removal;
        boolean removable = nowMilliseconds >= removableMilliseconds;
        if (removable && load.slots().attempts().isEmpty()) {
            output.propose(new RemoveEndpoint(endpoint, load.incarnation()));
        }
        leaseTimers.add(
                new Timer(removable ? nowMilliseconds + removal : removableMilliseconds, endpoint));
    }
}
