package org.marjoramnotch.logic.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.command.ReleaseSlot;
import org.marjoramnotch.model.endpoint.OpenAttempt;
import org.marjoramnotch.model.endpoint.SlotKind;
import org.marjoramnotch.model.endpoint.StoredAnswer;
import org.marjoramnotch.model.error.ExecutionOutcome;
import org.marjoramnotch.model.identifier.AttemptId;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.message.Done;
import org.marjoramnotch.model.message.EndAttempt;

/**
 * Releases the slots of attempts that have ended.
 *
 * <p>When an entry cannot tell whether its attempt is still running, the slot stays in use until
 * the endpoint confirms that it is not running the attempt and never will. Only then is the entry's
 * report answered; until then the entry keeps resending it, so a new leader receives it too.
 *
 * <p>A slot is assigned to the next request as soon as its release is proposed. This is safe
 * because the log applies the release before the reservation, and it saves one commit per handover
 * of a slot.
 */
final class AttemptReleases {
    private final PlacementContext context;
    private final Map<AttemptId, PendingRelease> pendingReleases = new HashMap<>();
    private final Map<AttemptId, RequestHandle> pendingAbandonments = new HashMap<>();

    /** The slot that an attempt held when its release was proposed. */
    private record HeldSlot(SlotPoolId pool, TeamName team, TrackedEndpoint endpoint) {}

    /** A release that has been proposed but not yet applied. */
    private record PendingRelease(Optional<HeldSlot> held, List<RequestHandle> handles) {}

    AttemptReleases(PlacementContext context) {
        this.context = context;
    }

    boolean isReleasing(AttemptId attempt) {
        return pendingReleases.containsKey(attempt);
    }

    /**
     * Returns whether the endpoint is being asked to abandon the attempt because of its entry's
     * report.
     */
    boolean isAbandoning(AttemptId attempt) {
        return pendingAbandonments.containsKey(attempt);
    }

    void onEnd(long nowMilliseconds, RequestHandle handle, EndAttempt end, LeaderOutput output) {
        @Nullable PendingRelease release = pendingReleases.get(end.attempt());
        if (release != null) {
            release.handles().add(handle);
            return;
        }
        if (context.state().hasEnded(end.attempt())) {
            pendingAbandonments.remove(end.attempt());
            output.reply(handle, new Done());
            return;
        }
        Optional<OpenAttempt> open = context.state().attempt(end.attempt());
        if (open.isPresent() && !isAbandoning(end.attempt())) {
            recordResult(nowMilliseconds, open.get(), end, output);
        }
        if (open.isPresent() && end.outcome() == ExecutionOutcome.UNKNOWN) {
            pendingAbandonments.put(end.attempt(), handle);
            return;
        }
        Optional<WaitingRequest> waiting = context.placer().find(end.attempt());
        Optional<HeldSlot> held =
                open.flatMap(this::heldSlot)
                        .or(() -> waiting.flatMap(AttemptReleases::reservedSlot));
        waiting.ifPresent(request -> context.placer().onWithdrawn(request, output));
        proposeRelease(end.attempt(), held, end.outcome(), end.answer(), output)
                .handles()
                .add(handle);
        held.ifPresent(slot -> recordPendingChange(nowMilliseconds, slot, -1, output));
    }

    private Optional<HeldSlot> heldSlot(OpenAttempt open) {
        return context.endpoints()
                .find(open.endpoint())
                .map(
                        tracked ->
                                new HeldSlot(
                                        new SlotPoolId(tracked.service(), open.kind()),
                                        open.team(),
                                        tracked));
    }

    private static Optional<HeldSlot> reservedSlot(WaitingRequest request) {
        return request.reserved()
                .map(endpoint -> new HeldSlot(request.pool(), request.team(), endpoint));
    }

    private void recordResult(
            long nowMilliseconds, OpenAttempt open, EndAttempt end, LeaderOutput output) {
        boolean ran = end.outcome() == ExecutionOutcome.RAN;
        if (ran && open.kind() == SlotKind.FEED) {
            context.metricsListener().onFeedEnded(open.team(), end.runMilliseconds());
        } else if (ran) {
            context.metricsListener().onEnded(open.team(), end.runMilliseconds());
        }
        if (ran || end.endpointFailed()) {
            context.endpoints().onResult(nowMilliseconds, open, end, output);
        } else {
            context.endpoints().onEndedWithoutResult(open);
        }
    }

    /** Releases the slot of a request that never used it and no longer can. */
    void releaseUnused(long nowMilliseconds, AttemptId attempt, LeaderOutput output) {
        release(nowMilliseconds, attempt, ExecutionOutcome.NOT_RUN, output);
    }

    /** Releases the slot of an attempt that its endpoint has abandoned. */
    void releaseAbandoned(long nowMilliseconds, AttemptId attempt, LeaderOutput output) {
        release(nowMilliseconds, attempt, ExecutionOutcome.UNKNOWN, output);
    }

    private void release(
            long nowMilliseconds,
            AttemptId attempt,
            ExecutionOutcome outcome,
            LeaderOutput output) {
        if (!isReleasing(attempt)) {
            Optional<HeldSlot> held = context.state().attempt(attempt).flatMap(this::heldSlot);
            proposeRelease(attempt, held, outcome, Optional.empty(), output);
            held.ifPresent(slot -> recordPendingChange(nowMilliseconds, slot, -1, output));
        }
    }

    private PendingRelease proposeRelease(
            AttemptId attempt,
            Optional<HeldSlot> held,
            ExecutionOutcome outcome,
            Optional<StoredAnswer> answer,
            LeaderOutput output) {
        PendingRelease release = new PendingRelease(held, new ArrayList<>());
        pendingReleases.put(attempt, release);
        output.propose(new ReleaseSlot(attempt, outcome, answer));
        return release;
    }

    void onApplied(long nowMilliseconds, ReleaseSlot command, LeaderOutput output) {
        @Nullable PendingRelease release = pendingReleases.remove(command.attempt());
        if (release == null) {
            return;
        }
        release.handles().forEach(handle -> output.reply(handle, new Done()));
        answerAbandoned(command.attempt(), output);
        context.placer().onUnusedReleased(command.attempt(), output);
        release.held().ifPresent(held -> recordPendingChange(nowMilliseconds, held, 1, output));
    }

    private void recordPendingChange(
            long nowMilliseconds, HeldSlot held, int change, LeaderOutput output) {
        context.pools().addPendingChange(held.pool(), held.team(), held.endpoint(), change);
        context.endpoints().refresh(held.endpoint().id(), nowMilliseconds);
        context.pools().refreshTeam(held.pool(), held.team());
        context.placer().placeWaiting(nowMilliseconds, held.pool(), output);
    }

    private void answerAbandoned(AttemptId attempt, LeaderOutput output) {
        @Nullable RequestHandle handle = pendingAbandonments.remove(attempt);
        if (handle != null) {
            output.reply(handle, new Done());
        }
    }

    /** Answers the reports of attempts that ended because their endpoint restarted. */
    void onEndpointRestarted(LeaderOutput output) {
        List.copyOf(pendingAbandonments.keySet()).stream()
                .filter(attempt -> context.state().hasEnded(attempt))
                .forEach(attempt -> answerAbandoned(attempt, output));
    }
}
