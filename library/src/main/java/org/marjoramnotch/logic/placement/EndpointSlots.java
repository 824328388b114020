package org.marjoramnotch.logic.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.marjoramnotch.model.endpoint.EndpointDescription;
import org.marjoramnotch.model.endpoint.EndpointState;
import org.marjoramnotch.model.endpoint.OpenAttempt;
import org.marjoramnotch.model.endpoint.RegisteredEndpoint;
import org.marjoramnotch.model.endpoint.SlotKind;
import org.marjoramnotch.model.error.Invariant;
import org.marjoramnotch.model.identifier.AttemptId;

/** A registered endpoint and the attempts that hold its slots. */
public final class EndpointSlots {
    private static final int MAXIMUM_RETIRED_INCARNATIONS = 8;

    private final Map<AttemptId, OpenAttempt> attempts = new LinkedHashMap<>();
    private final List<String> retiredIncarnations;
    private EndpointDescription description;
    private EndpointState state;
    private int requests;
    private int feeds;

    EndpointSlots(RegisteredEndpoint registered) {
        this.description = registered.description();
        this.state = registered.state();
        this.retiredIncarnations = new ArrayList<>(registered.retiredIncarnations());
    }

    /** Returns the description that the endpoint announced. */
    public EndpointDescription description() {
        return description;
    }

    /** Returns the announced state, which tells whether the endpoint accepts new work. */
    public EndpointState state() {
        return state;
    }

    /** Returns the number of slots of this kind that are held by attempts. */
    public int inUse(SlotKind kind) {
        return kind == SlotKind.REQUEST ? requests : feeds;
    }

    /** Returns the maximum number of slots of this kind. */
    public int capacity(SlotKind kind) {
        return capacity(description, kind);
    }

    /** Returns the attempts that hold slots of the endpoint. */
    public Collection<OpenAttempt> attempts() {
        return Collections.unmodifiableCollection(attempts.values());
    }

    static int capacity(EndpointDescription description, SlotKind kind) {
        return kind == SlotKind.REQUEST
                ? description.slots()
                : Math.max(0, description.connections() - description.slots());
    }

    boolean isRetired(String incarnation) {
        return retiredIncarnations.contains(incarnation);
    }

    boolean hasFreeSlot(SlotKind kind) {
        return inUse(kind) < capacity(kind);
    }

    void reserve(OpenAttempt attempt) {
        Invariant.check(
                hasFreeSlot(attempt.kind()),
                "An attempt is assigned to an endpoint without a free slot");
        addUnchecked(attempt);
    }

    /**
     * Adds an attempt without checking the capacity, which may have been lowered since it was
     * placed.
     */
    void addUnchecked(OpenAttempt attempt) {
        Invariant.check(
                attempts.put(attempt.attempt(), attempt) == null,
                "An attempt holds two slots of an endpoint");
        count(attempt.kind(), 1);
    }

    void release(OpenAttempt attempt) {
        Invariant.check(
                attempts.remove(attempt.attempt()) != null,
                "An attempt releases a slot that it does not hold");
        count(attempt.kind(), -1);
    }

    private void count(SlotKind kind, int change) {
        if (kind == SlotKind.REQUEST) {
            requests += change;
        } else {
            feeds += change;
        }
    }

    void changeState(EndpointState newState) {
        state = newState;
    }

    void updateDescription(EndpointDescription newDescription) {
        description = newDescription;
    }

    /** Replaces the incarnation; all attempts of the previous one must have been released. */
    void restart(EndpointDescription newDescription) {
        retireIncarnation();
        description = newDescription;
        state = EndpointState.ACTIVE;
    }

    /**
     * Retires the incarnation, so that it cannot register again; all its attempts must have been
     * released.
     */
    void retireIncarnation() {
        Invariant.check(
                attempts.isEmpty(), "An incarnation is retired while attempts hold its slots");
        retiredIncarnations.add(description.incarnation());
        if (retiredIncarnations.size() > MAXIMUM_RETIRED_INCARNATIONS) {
            retiredIncarnations.remove(0);
        }
    }

    RegisteredEndpoint snapshot() {
        return new RegisteredEndpoint(description, state, List.copyOf(retiredIncarnations));
    }
}
