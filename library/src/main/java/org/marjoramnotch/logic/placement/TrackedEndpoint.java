package org.marjoramnotch.logic.placement;

import org.marjoramnotch.model.endpoint.EndpointState;
import org.marjoramnotch.model.endpoint.SlotKind;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.EndpointId;
import org.marjoramnotch.model.identifier.ServiceName;

/**
 * The leader's view of a registered endpoint, including state that is not in the ledger: its lease,
 * its health and slot changes that have been proposed but not yet applied.
 */
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

    /** Returns the name of the endpoint. */
    public EndpointId id() {
        return slots.description().endpoint();
    }

    /** Returns the availability zone of the endpoint. */
    public AvailabilityZone zone() {
        return slots.description().zone();
    }

    /**
     * Returns the load relative to the capacity, multiplied by the penalty of {@link
     * EndpointHealth}; lower is better.
     */
    public double weightedLoad(SlotKind kind) {
        return health.penalty() * (inUse(kind) + 1) / Math.max(1, slots.capacity(kind));
    }

    /** Returns whether the lease is valid at the given time. */
    public boolean hasValidLease(long nowMilliseconds) {
        return nowMilliseconds < leaseUntilMilliseconds;
    }

    /** Returns the service that the endpoint offered when it was registered. */
    ServiceName service() {
        return service;
    }

    String incarnation() {
        return slots.description().incarnation();
    }

    /** Returns whether the endpoint has been registered again or now offers another service. */
    boolean isReplacedBy(EndpointSlots registered) {
        return slots != registered || !service.equals(registered.description().service());
    }

    /** Updates the known incarnation from the ledger and returns whether it has changed. */
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

    /** Stops or allows new work immediately, regardless of the state in the ledger. */
    void closed(boolean value) {
        closed = value;
    }

    /** Returns whether the endpoint accepts work, either now or once a slot becomes free. */
    boolean acceptsWork(long nowMilliseconds) {
        return !closed && slots.state() == EndpointState.ACTIVE && hasValidLease(nowMilliseconds);
    }

    boolean hasFreeSlot(SlotKind kind) {
        return inUse(kind) < slots.capacity(kind);
    }

    private int inUse(SlotKind kind) {
        return slots.inUse(kind)
                + (kind == SlotKind.REQUEST ? pendingRequestChange : pendingFeedChange);
    }

    /** Adds a proposed change of the number of slots in use. */
    void addPendingChange(SlotKind kind, int change) {
        if (kind == SlotKind.REQUEST) {
            pendingRequestChange += change;
        } else {
            pendingFeedChange += change;
        }
    }
}
