package org.marjoramnotch.logic.placement;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.logic.configuration.AuthorizationLog;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.command.CommandResult;
import org.marjoramnotch.model.command.ReserveSlot;
import org.marjoramnotch.model.endpoint.EndpointDescription;
import org.marjoramnotch.model.endpoint.OpenAttempt;
import org.marjoramnotch.model.endpoint.SlotKind;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.Refusal;
import org.marjoramnotch.model.identifier.AttemptId;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.message.Granted;
import org.marjoramnotch.model.message.PlaceRequest;
import org.marjoramnotch.model.message.Refused;
import org.marjoramnotch.model.message.Replayed;
import org.marjoramnotch.model.rule.Repetition;

/**
 * Queues requests, selects the next one to place and answers each request once its reservation is
 * committed.
 *
 * <p>If the deadline of a request passes while its reservation is being committed, the request is
 * answered only after the commit and the release of its slot, so that no refused request can hold a
 * slot.
 */
final class RequestPlacer {
    private static final Comparator<WaitingRequest> BY_DEADLINE =
            Comparator.comparingLong(WaitingRequest::deadlineMilliseconds)
                    .thenComparingLong(WaitingRequest::sequence);

    private final PlacementContext context;
    private final RequestAdmission admission;
    private final Map<AttemptId, WaitingRequest> waiting = new HashMap<>();
    private final TreeSet<WaitingRequest> deadlines = new TreeSet<>(BY_DEADLINE);
    private long nextSequence;

    RequestPlacer(PlacementContext context) {
        this.context = context;
        this.admission = new RequestAdmission(context);
    }

    Optional<WaitingRequest> find(AttemptId attempt) {
        return Optional.ofNullable(waiting.get(attempt));
    }

    void onRequest(
            long nowMilliseconds, RequestHandle handle, PlaceRequest request, LeaderOutput output) {
        @Nullable WaitingRequest known = waiting.get(request.attempt());
        if (known != null && known.isWithdrawn()) {
            output.reply(handle, new Refused(PlacementRefusals.withdrawn()));
            return;
        }
        if (known != null) {
            known.replaceHandle(handle);
            return;
        }
        if (context.releases().isReleasing(request.attempt())) {
            output.reply(handle, new Refused(PlacementRefusals.ended()));
            return;
        }
        Optional<OpenAttempt> open = context.state().attempt(request.attempt());
        if (open.isPresent()) {
            grantAgain(handle, open.get(), output);
            return;
        }
        RequestAdmission.Decision decision = admission.decide(nowMilliseconds, request);
        if (decision.reply().isPresent()) {
            if (decision.reply().get() instanceof Refused refused) {
                logRefusal(request, refused.refusal(), output);
            }
            output.reply(handle, decision.reply().get());
            return;
        }
        RequestAdmission.AdmittedRequest admitted = decision.admitted().orElseThrow();
        enqueue(
                new WaitingRequest(
                        handle,
                        request,
                        admitted.work(),
                        admitted.pool(),
                        nowMilliseconds,
                        admitted.maximumWaitMilliseconds(),
                        nextSequence++));
        placeWaiting(nowMilliseconds, admitted.pool(), output);
    }

    private void grantAgain(RequestHandle handle, OpenAttempt open, LeaderOutput output) {
        Repetition repetition =
                context.configuration()
                        .queue(open.queue())
                        .map(queue -> queue.repetition())
                        .orElse(Repetition.ONCE);
        output.reply(handle, granted(open.attempt(), open.team(), repetition, slots(open)));
    }

    private EndpointSlots slots(OpenAttempt open) {
        return context.state().endpoint(open.endpoint()).orElseThrow();
    }

    private Granted granted(
            AttemptId attempt, TeamName team, Repetition repetition, EndpointSlots slots) {
        EndpointDescription endpoint = slots.description();
        return new Granted(
                attempt,
                team,
                endpoint.endpoint(),
                endpoint.incarnation(),
                endpoint.host(),
                endpoint.port(),
                repetition,
                context.settings().startWithinMilliseconds());
    }

    private void enqueue(WaitingRequest request) {
        waiting.put(request.attempt(), request);
        deadlines.add(request);
        context.pools().pool(request.pool()).team(request.team()).add(request);
        context.pools().refreshTeam(request.pool(), request.team());
    }

    /** Places waiting requests of a pool as long as it has free slots. */
    void placeWaiting(long nowMilliseconds, SlotPoolId id, LeaderOutput output) {
        SlotPool pool = context.pools().pool(id);
        Optional<SlotPool.Assignment> next = pool.nextAssignment(nowMilliseconds);
        while (next.isPresent()) {
            WaitingRequest request = next.get().request();
            if (request.deadlineMilliseconds() <= nowMilliseconds) {
                refuseQueued(request, PlacementRefusals.deadlineExceeded(), output);
            } else {
                reserve(nowMilliseconds, request, next.get().endpoint(), output);
            }
            next = pool.nextAssignment(nowMilliseconds);
        }
    }

    private void reserve(
            long nowMilliseconds,
            WaitingRequest request,
            TrackedEndpoint endpoint,
            LeaderOutput output) {
        context.pools().pool(request.pool()).team(request.team()).removeHead();
        request.reserve(endpoint);
        endpoint.health().onPlaced(request.attempt());
        context.pools().addPendingChange(request.pool(), request.team(), endpoint, 1);
        context.pools().refreshEndpoint(endpoint, nowMilliseconds);
        context.pools().refreshTeam(request.pool(), request.team());
        output.propose(request.reserveCommand(endpoint));
    }

    void onApplied(
            long nowMilliseconds, ReserveSlot command, CommandResult result, LeaderOutput output) {
        @Nullable WaitingRequest request = waiting.get(command.attempt());
        if (request == null || request.stage() != WaitingRequest.Stage.RESERVING) {
            return;
        }
        TrackedEndpoint endpoint = request.reserved().orElseThrow();
        context.pools().addPendingChange(request.pool(), request.team(), endpoint, -1);
        if (result instanceof CommandResult.Accepted) {
            onReserved(nowMilliseconds, request, output);
        } else {
            endpoint.health().onEndedWithoutResult(request.attempt());
            onNotReserved(nowMilliseconds, request, result, output);
        }
        context.pools().refreshEndpoint(endpoint, nowMilliseconds);
        context.pools().refreshTeam(request.pool(), request.team());
        placeWaiting(nowMilliseconds, request.pool(), output);
    }

    private void onReserved(long nowMilliseconds, WaitingRequest request, LeaderOutput output) {
        if (request.isWithdrawn()) {
            remove(request);
            return;
        }
        OpenAttempt open = context.state().attempt(request.attempt()).orElseThrow();
        if (request.deadlineMilliseconds() <= nowMilliseconds) {
            request.startFreeing();
            context.releases().releaseUnused(nowMilliseconds, request.attempt(), output);
            return;
        }
        remove(request);
        recordGrant(request, nowMilliseconds - request.arrivedMilliseconds());
        output.reply(
                request.handle(),
                granted(request.attempt(), request.team(), request.repetition(), slots(open)));
    }

    private void recordGrant(WaitingRequest request, long waitedMilliseconds) {
        if (request.pool().kind() == SlotKind.FEED) {
            context.metricsListener().onFeedGranted(request.team(), waitedMilliseconds);
        } else {
            boolean urgent = request.request().urgent();
            context.metricsListener().onGranted(request.team(), urgent, waitedMilliseconds);
        }
    }

    private void onNotReserved(
            long nowMilliseconds,
            WaitingRequest request,
            CommandResult result,
            LeaderOutput output) {
        if (request.isWithdrawn()) {
            remove(request);
        } else if (result instanceof CommandResult.AnsweredBefore before) {
            remove(request);
            output.reply(request.handle(), new Replayed(before.answer()));
        } else if (result instanceof CommandResult.Rejected rejected) {
            onRejected(nowMilliseconds, request, rejected.refusal(), output);
        }
    }

    private void onRejected(
            long nowMilliseconds, WaitingRequest request, Refusal refusal, LeaderOutput output) {
        boolean transientRefusal =
                refusal.code() == ErrorCode.NO_ENDPOINT
                        || refusal.code() == ErrorCode.TEAM_AT_LIMIT;
        if (transientRefusal && nowMilliseconds < request.deadlineMilliseconds()) {
            request.requeue();
            context.pools().pool(request.pool()).team(request.team()).addFirst(request);
            return;
        }
        refuse(request, transientRefusal ? PlacementRefusals.deadlineExceeded() : refusal, output);
    }

    /**
     * Handles the withdrawal, by its entry, of a request that is still queued or being reserved.
     */
    void onWithdrawn(WaitingRequest request, LeaderOutput output) {
        if (request.isWithdrawn()) {
            return;
        }
        if (request.stage() == WaitingRequest.Stage.QUEUED) {
            refuseQueued(request, PlacementRefusals.withdrawn(), output);
            return;
        }
        request.withdraw();
        output.reply(request.handle(), new Refused(PlacementRefusals.withdrawn()));
    }

    /** Answers a request whose unused slot has been released. */
    void onUnusedReleased(AttemptId attempt, LeaderOutput output) {
        @Nullable WaitingRequest request = waiting.get(attempt);
        if (request == null || request.stage() != WaitingRequest.Stage.FREEING) {
            return;
        }
        if (request.isWithdrawn()) {
            remove(request);
        } else {
            refuse(request, PlacementRefusals.deadlineExceeded(), output);
        }
    }

    /** Refuses queued requests whose deadline has passed. */
    void onTick(long nowMilliseconds, LeaderOutput output) {
        while (!deadlines.isEmpty()
                && deadlines.first().deadlineMilliseconds() <= nowMilliseconds) {
            WaitingRequest request = deadlines.pollFirst();
            if (request.stage() == WaitingRequest.Stage.QUEUED) {
                refuseQueued(request, PlacementRefusals.deadlineExceeded(), output);
            }
        }
    }

    private void refuseQueued(WaitingRequest request, Refusal refusal, LeaderOutput output) {
        request.withdraw();
        context.pools().pool(request.pool()).team(request.team()).onWithdrawn(request);
        refuse(request, refusal, output);
        context.pools().refreshTeam(request.pool(), request.team());
    }

    private void refuse(WaitingRequest request, Refusal refusal, LeaderOutput output) {
        remove(request);
        context.metricsListener().onRefused(request.team(), refusal.code());
        logRefusal(request.request(), refusal, output);
        output.reply(request.handle(), new Refused(refusal));
    }

    private void logRefusal(PlaceRequest request, Refusal refusal, LeaderOutput output) {
        AuthorizationLog.logRefusal(request, refusal.code(), context.configuration(), output);
    }

    private void remove(WaitingRequest request) {
        waiting.remove(request.attempt());
        deadlines.remove(request);
    }
}
