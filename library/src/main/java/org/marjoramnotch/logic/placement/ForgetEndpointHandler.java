package org.marjoramnotch.logic.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.command.ForgetEndpoint;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.Refusal;
import org.marjoramnotch.model.identifier.EndpointId;
import org.marjoramnotch.model.message.AnnounceEndpoint;
import org.marjoramnotch.model.message.Done;
import org.marjoramnotch.model.message.ForgetEndpointRequest;
import org.marjoramnotch.model.message.Refused;

/**
 * Removes endpoints that an operator has declared permanently gone. The leader cannot determine
 * this by itself: an endpoint that only lost its connection may still be running its attempts.
 */
final class ForgetEndpointHandler {
    private final PlacementContext context;
    private final Predicate<EndpointId> isAnnouncing;
    private final Map<EndpointId, PendingRemoval> pending = new HashMap<>();

    /** A removal that has been proposed but not yet applied. */
    private record PendingRemoval(String incarnation, List<RequestHandle> handles) {}

    /**
     * Creates a handler for one term of a leader.
     *
     * @param isAnnouncing returns whether an announcement of the endpoint is being committed
     */
    ForgetEndpointHandler(PlacementContext context, Predicate<EndpointId> isAnnouncing) {
        this.context = context;
        this.isAnnouncing = isAnnouncing;
    }

    void onRequest(
            long nowMilliseconds,
            RequestHandle handle,
            ForgetEndpointRequest request,
            LeaderOutput output) {
        EndpointId id = request.endpoint();
        @Nullable PendingRemoval waiting = pending.get(id);
        if (waiting != null) {
            waiting.handles().add(handle);
            return;
        }
        Optional<TrackedEndpoint> tracked = context.endpoints().find(id);
        if (isAnnouncing.test(id)
                || tracked.filter(endpoint -> endpoint.hasValidLease(nowMilliseconds))
                        .isPresent()) {
            output.reply(handle, new Refused(endpointAlive(id)));
            return;
        }
        if (tracked.isEmpty()) {
            output.reply(handle, new Done());
            return;
        }
        String incarnation = tracked.get().incarnation();
        pending.put(id, new PendingRemoval(incarnation, new ArrayList<>(List.of(handle))));
        output.propose(new ForgetEndpoint(id, incarnation));
    }

    /**
     * Returns whether the announcing incarnation is being removed and therefore must not renew its
     * lease.
     */
    boolean isForgetting(AnnounceEndpoint announcement) {
        @Nullable PendingRemoval waiting = pending.get(announcement.description().endpoint());
        return waiting != null
                && waiting.incarnation().equals(announcement.description().incarnation());
    }

    void onApplied(long nowMilliseconds, ForgetEndpoint command, LeaderOutput output) {
        EndpointId id = command.endpoint();
        Optional<TrackedEndpoint> tracked = context.endpoints().find(id);
        context.endpoints().onRemoved(id);
        context.releases().onEndpointRestarted(output);
        tracked.ifPresent(
                removed -> {
                    context.pools().refreshTeams(removed.service());
                    context.endpoints().placeWaiting(removed, nowMilliseconds, output);
                });
        @Nullable PendingRemoval done = pending.remove(id);
        if (done != null) {
            done.handles().forEach(handle -> output.reply(handle, new Done()));
        }
    }

    private static Refusal endpointAlive(EndpointId id) {
        return Refusal.notRun(
                ErrorCode.ENDPOINT_ALIVE,
                "Endpoint "
                        + id
                        + " has a lease or the leader has just changed; stop its VM permanently,"
                        + " wait until the lease expires and send the command again.");
    }
}
