package org.marjoramnotch.logic.placement;

import org.marjoramnotch.model.endpoint.EndpointState;
import org.marjoramnotch.model.endpoint.SlotKind;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.EndpointId;
import org.marjoramnotch.model.identifier.ServiceName;

/** What a leader knows of a registered endpoint beyond the ledger. */
public final class TrackedEndpoint {
    private final EndpointSlots slots;
    private final ServiceName service;
    private final EndpointHealth health;
    private String knownIncarnation;
    private long leaseUntilMilliseconds;
    private boolean closed;
    private int pendingRequestChange;
    private int pendingFeedChange;

    TrackedEndpoint(EndpointSlots slots, EndpointHealth health, long leaseUntilMilliseconds) {
        this.slots = slots;
        this.service = slots.description().service();
        this.knownIncarnation = slots.description().incarnation();
        this.health = health;
        this.leaseUntilMilliseconds = leaseUntilMilliseconds;
    }

    /** Returns the endpoint. */
    public EndpointId id() {
        return slots.description().endpoint();
    }

    /** Returns its availability zone. */
    public AvailabilityZone zone() {
        return slots.description().zone();
    }

    /** Returns its load by its capacity, weighted by how badly it does; the least is best. */
    public double weightedLoad(SlotKind kind) {
        return health.penalty() * (inUse(kind) + 1) / Math.max(1, slots.capacity(kind));
    }

    /** Tells whether its lease runs at the time. */
    public boolean isLive(long nowMilliseconds) {
        return nowMilliseconds < leaseUntilMilliseconds;
    }

    /** Returns the service that it offered when it was registered. */
    ServiceName service() {
        return service;
    }

    String incarnation() {
        return slots.description().incarnation();
    }

    /** Tells whether the registered endpoint offers another service or was registered anew. */
    boolean isReplacedBy(EndpointSlots registered) {
        return slots != registered || !service.equals(registered.description().service());
    }

    /** Takes the registered incarnation; tells whether it is another one than before. */
    boolean updateIncarnation() {
        boolean changed = !knownIncarnation.equals(incarnation());
        knownIncarnation = incarnation();
        return changed;
    }

    EndpointSlots slots() {
        return slots;
    }

    EndpointHealth health() {
        return health;
    }

    long leaseUntilMilliseconds() {
        return leaseUntilMilliseconds;
    }

    void renew(long untilMilliseconds) {
        leaseUntilMilliseconds = Math.max(leaseUntilMilliseconds, untilMilliseconds);
    }

    /** Stops or allows new work at once, whatever the ledger says. */
    void closed(boolean value) {
        closed = value;
    }

    /** Tells whether it takes work at all, now or when a slot becomes free. */
    boolean acceptsWork(long nowMilliseconds) {
        return !closed && slots.state() == EndpointState.ACTIVE && isLive(nowMilliseconds);
    }

    boolean hasFreeSlot(SlotKind kind) {
        return inUse(kind) < slots.capacity(kind);
    }

    private int inUse(SlotKind kind) {
        return slots.inUse(kind)
                + (kind == SlotKind.REQUEST ? pendingRequestChange : pendingFeedChange);
    }

    /** Counts a proposed change of its slots in use. */
    void addPendingChange(SlotKind kind, int change) {
        if (kind == SlotKind.REQUEST) {
            pendingRequestChange += change;
        } else {
            pendingFeedChange += change;
        }
    }
}
