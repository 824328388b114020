package org.marjoramnotch.logic.placement;

import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.logic.configuration.AuthorizedWork;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.command.ReserveSlot;
import org.marjoramnotch.model.error.Invariant;
import org.marjoramnotch.model.identifier.AttemptId;
import org.marjoramnotch.model.identifier.EndpointId;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.message.PlaceRequest;
import org.marjoramnotch.model.rule.Repetition;

/** A request that waits for a slot, or whose reservation is being committed. */
final class WaitingRequest {
    private final PlaceRequest request;
    private final AuthorizedWork work;
    private final SlotPoolId pool;
    private final long arrivedMilliseconds;
    private final long maximumWaitMilliseconds;
    private final long sequence;
    private RequestHandle handle;
    private @Nullable TrackedEndpoint reserved;
    private Stage stage = Stage.QUEUED;
    private boolean withdrawn;

    /** The progress of a request. */
    enum Stage {
        /** The request waits for a slot. */
        QUEUED,
        /** The reservation of its slot is being committed. */
        RESERVING,
        /** Its slot was reserved after the deadline and is being released. */
        FREEING
    }

    WaitingRequest(
            RequestHandle handle,
            PlaceRequest request,
            AuthorizedWork work,
            SlotPoolId pool,
            long arrivedMilliseconds,
            long maximumWaitMilliseconds,
            long sequence) {
        this.handle = handle;
        this.request = request;
        this.work = work;
        this.pool = pool;
        this.arrivedMilliseconds = arrivedMilliseconds;
        this.maximumWaitMilliseconds = maximumWaitMilliseconds;
        this.sequence = sequence;
    }

    AttemptId attempt() {
        return request.attempt();
    }

    PlaceRequest request() {
        return request;
    }

    TeamName team() {
        return work.team().team();
    }

    Repetition repetition() {
        return work.queue().repetition();
    }

    SlotPoolId pool() {
        return pool;
    }

    List<EndpointId> excluded() {
        return request.excluded();
    }

    long arrivedMilliseconds() {
        return arrivedMilliseconds;
    }

    /** Returns the time in milliseconds from which the request can no longer be granted. */
    long deadlineMilliseconds() {
        return arrivedMilliseconds + maximumWaitMilliseconds;
    }

    /** Returns the arrival sequence number. */
    long sequence() {
        return sequence;
    }

    RequestHandle handle() {
        return handle;
    }

    /** Sets the handle of a resent request, which is answered instead of the previous one. */
    void replaceHandle(RequestHandle newHandle) {
        handle = newHandle;
    }

    /** Returns the endpoint whose slot is being reserved or released, if any. */
    Optional<TrackedEndpoint> reserved() {
        return Optional.ofNullable(reserved);
    }

    Stage stage() {
        return stage;
    }

    void reserve(TrackedEndpoint endpoint) {
        Invariant.check(
                stage == Stage.QUEUED, "A slot is reserved for a request that is not queued");
        stage = Stage.RESERVING;
        reserved = endpoint;
    }

    void requeue() {
        stage = Stage.QUEUED;
        reserved = null;
    }

    void startFreeing() {
        stage = Stage.FREEING;
    }

    /** Returns whether the request has been answered or withdrawn and must no longer be placed. */
    boolean isWithdrawn() {
        return withdrawn;
    }

    void withdraw() {
        withdrawn = true;
    }

    ReserveSlot reserveCommand(TrackedEndpoint endpoint) {
        return new ReserveSlot(
                attempt(),
                request.queue(),
                team(),
                work.key(),
                endpoint.id(),
                endpoint.incarnation(),
                request.kind(),
                request.claim());
    }
}
