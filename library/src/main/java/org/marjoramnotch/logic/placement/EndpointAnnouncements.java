package org.marjoramnotch.logic.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.command.ChangeEndpointState;
import org.marjoramnotch.model.command.Command;
import org.marjoramnotch.model.command.CommandResult;
import org.marjoramnotch.model.command.RegisterEndpoint;
import org.marjoramnotch.model.endpoint.EndpointState;
import org.marjoramnotch.model.endpoint.OpenAttempt;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.Refusal;
import org.marjoramnotch.model.identifier.AttemptId;
import org.marjoramnotch.model.identifier.EndpointId;
import org.marjoramnotch.model.message.AnnounceEndpoint;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.EndpointRenewed;
import org.marjoramnotch.model.message.Refused;

/**
 * Updates the ledger to match the announcements of endpoints and answers each announcement once the
 * ledger matches it. A leaving or restarted endpoint receives no new work from the moment its
 * announcement arrives, before the change is committed.
 */
final class EndpointAnnouncements {
    private final PlacementContext context;
    private final Map<EndpointId, PendingAnnouncement> pending = new HashMap<>();

    /** An announcement that is answered once its commands are committed. */
    private static final class PendingAnnouncement {
        private final List<RequestHandle> handles = new ArrayList<>();
        private AnnounceEndpoint announcement;
        private long receivedMilliseconds;

        PendingAnnouncement(AnnounceEndpoint announcement) {
            this.announcement = announcement;
        }
    }

    EndpointAnnouncements(PlacementContext context) {
        this.context = context;
    }

    /** Returns whether an announcement of the endpoint is being committed. */
    boolean isAnnouncing(EndpointId endpoint) {
        return pending.containsKey(endpoint);
    }

    void onAnnounced(
            long nowMilliseconds,
            RequestHandle handle,
            AnnounceEndpoint announcement,
            LeaderOutput output) {
        EndpointId id = announcement.description().endpoint();
        Optional<EndpointSlots> known = context.state().endpoint(id);
        String incarnation = announcement.description().incarnation();
        if (known.filter(slots -> slots.isRetired(incarnation)).isPresent()) {
            output.reply(handle, new Refused(replacedIncarnation(id)));
            return;
        }
        if (known.filter(slots -> isSameProcess(slots, announcement)).isPresent()) {
            releaseAbandoned(nowMilliseconds, announcement, output);
        }
        closeIfNeeded(nowMilliseconds, announcement);
        @Nullable PendingAnnouncement waiting = pending.get(id);
        Optional<Command> missing = nextCommand(announcement);
        if (waiting == null && missing.isEmpty()) {
            renew(nowMilliseconds, nowMilliseconds, announcement, output);
            output.reply(handle, renewed(nowMilliseconds, id));
            return;
        }
        if (waiting == null) {
            waiting = new PendingAnnouncement(announcement);
            pending.put(id, waiting);
            output.propose(missing.get());
        }
        waiting.announcement = announcement;
        waiting.receivedMilliseconds = nowMilliseconds;
        waiting.handles.add(handle);
    }

    private static boolean isSameProcess(EndpointSlots slots, AnnounceEndpoint announcement) {
        return slots.description().incarnation().equals(announcement.description().incarnation());
    }

    private void closeIfNeeded(long nowMilliseconds, AnnounceEndpoint announcement) {
        Optional<TrackedEndpoint> tracked =
                context.endpoints().find(announcement.description().endpoint());
        if (tracked.isEmpty()) {
            return;
        }
        boolean restarted = !isSameProcess(tracked.get().slots(), announcement);
        if (restarted || announcement.state() == EndpointState.LEAVING) {
            tracked.get().closed(true);
            context.pools().refreshEndpoint(tracked.get(), nowMilliseconds);
        }
    }

    /**
     * Returns the next command needed to make the ledger match the announcement, or empty if it
     * already matches.
     */
    private Optional<Command> nextCommand(AnnounceEndpoint announcement) {
        EndpointId id = announcement.description().endpoint();
        Optional<EndpointSlots> known = context.state().endpoint(id);
        boolean registered =
                known.filter(slots -> slots.description().equals(announcement.description()))
                        .isPresent();
        if (!registered) {
            return Optional.of(new RegisterEndpoint(announcement.description()));
        }
        if (known.get().state() != announcement.state()) {
            return Optional.of(
                    new ChangeEndpointState(
                            id, announcement.description().incarnation(), announcement.state()));
        }
        return Optional.empty();
    }

    private void releaseAbandoned(
            long nowMilliseconds, AnnounceEndpoint announcement, LeaderOutput output) {
        Set<AttemptId> running = new HashSet<>(announcement.running());
        for (AttemptId attempt : announcement.abandoned()) {
            boolean held =
                    context.state()
                            .attempt(attempt)
                            .filter(open -> isOn(open, announcement))
                            .isPresent();
            if (held && !running.contains(attempt)) {
                context.releases().releaseAbandoned(nowMilliseconds, attempt, output);
            }
        }
    }

    private static boolean isOn(OpenAttempt open, AnnounceEndpoint announcement) {
        return open.endpoint().equals(announcement.description().endpoint());
    }

    void onApplied(
            long nowMilliseconds,
            RegisterEndpoint command,
            CommandResult result,
            LeaderOutput output) {
        EndpointId id = command.description().endpoint();
        if (result instanceof CommandResult.Rejected rejected) {
            @Nullable PendingAnnouncement refused = pending.remove(id);
            answer(refused, new Refused(rejected.refusal()), output);
            return;
        }
        context.state()
                .endpoint(id)
                .ifPresent(slots -> context.endpoints().onRegistered(slots, nowMilliseconds));
        context.releases().onEndpointRestarted(output);
        proceed(nowMilliseconds, id, output);
    }

    void onApplied(long nowMilliseconds, ChangeEndpointState command, LeaderOutput output) {
        context.endpoints().refresh(command.endpoint(), nowMilliseconds);
        proceed(nowMilliseconds, command.endpoint(), output);
    }

    private void proceed(long nowMilliseconds, EndpointId id, LeaderOutput output) {
        @Nullable PendingAnnouncement waiting = pending.get(id);
        if (waiting == null) {
            return;
        }
        Optional<Command> missing = nextCommand(waiting.announcement);
        if (missing.isPresent()) {
            output.propose(missing.get());
            return;
        }
        pending.remove(id);
        renew(nowMilliseconds, waiting.receivedMilliseconds, waiting.announcement, output);
        answer(waiting, renewed(nowMilliseconds, id), output);
    }

    private void renew(
            long nowMilliseconds,
            long receivedMilliseconds,
            AnnounceEndpoint announcement,
            LeaderOutput output) {
        TrackedEndpoint tracked =
                context.endpoints().find(announcement.description().endpoint()).orElseThrow();
        boolean wasOpen = tracked.acceptsWork(nowMilliseconds);
        context.endpoints().renew(tracked, receivedMilliseconds);
        tracked.closed(announcement.state() == EndpointState.LEAVING);
        if (!wasOpen && tracked.acceptsWork(nowMilliseconds)) {
            context.pools().refreshEndpoint(tracked, nowMilliseconds);
            context.endpoints().placeWaiting(tracked, nowMilliseconds, output);
        }
    }

    private EndpointRenewed renewed(long nowMilliseconds, EndpointId id) {
        List<AttemptId> abandon =
                context.state().endpoint(id).orElseThrow().attempts().stream()
                        .map(OpenAttempt::attempt)
                        .filter(attempt -> mustAbandon(attempt, nowMilliseconds))
                        .toList();
        return new EndpointRenewed(context.settings().endpointLeaseMilliseconds(), abandon);
    }

    private boolean mustAbandon(AttemptId attempt, long nowMilliseconds) {
        return !context.releases().isReleasing(attempt)
                && (context.releases().isAbandoning(attempt)
                        || context.entries().isOrphaned(attempt, nowMilliseconds));
    }

    private static void answer(
            @Nullable PendingAnnouncement waiting, CellReply reply, LeaderOutput output) {
        if (waiting != null) {
            waiting.handles.forEach(handle -> output.reply(handle, reply));
        }
    }

    static Refusal replacedIncarnation(EndpointId id) {
        return Refusal.notRun(
                ErrorCode.STALE_EPOCH,
                "This incarnation of endpoint "
                        + id
                        + " was replaced or removed; announce again with a new incarnation.");
    }
}
