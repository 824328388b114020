package org.marjoramnotch.logic.placement;

import java.util.Optional;
import org.marjoramnotch.logic.configuration.AuthorizedWork;
import org.marjoramnotch.logic.configuration.WorkAuthorization;
import org.marjoramnotch.model.command.CommandResult;
import org.marjoramnotch.model.endpoint.SlotKind;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.error.Refusal;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.PlaceRequest;
import org.marjoramnotch.model.message.Refused;
import org.marjoramnotch.model.message.Replayed;

/** Decides whether a new request is queued, or answered at once. */
final class RequestAdmission {
    private static final double RUN_TIME_FACTOR = 3;

    private final PlacementContext context;

    RequestAdmission(PlacementContext context) {
        this.context = context;
    }

    /**
     * A request that may be queued.
     *
     * @param work what its queue takes it as
     * @param pool the slots that it waits for
     * @param maximumWaitMilliseconds how long it may wait and still be answered in time
     */
    record AdmittedRequest(AuthorizedWork work, SlotPoolId pool, long maximumWaitMilliseconds) {}

    /**
     * What becomes of a request.
     *
     * @param reply the answer, if it is answered at once
     * @param admitted what is queued otherwise
     */
    record Decision(Optional<CellReply> reply, Optional<AdmittedRequest> admitted) {}

    Decision decide(long nowMilliseconds, PlaceRequest request) {
        if (context.state().hasEnded(request.attempt())) {
            return refused(PlacementRefusals.ended());
        }
        if (context.entries().isReplaced(request.attempt())) {
            return refused(PlacementRefusals.staleEntry());
        }
        try {
            AuthorizedWork work =
                    WorkAuthorization.authorize(
                            context.configuration(), request.queue(), request.credential());
            ServiceName service = PlacementChecks.requireService(work.queue(), request.kind());
            AdmittedRequest admitted =
                    new AdmittedRequest(
                            work,
                            new SlotPoolId(service, request.kind()),
                            maximumWaitMilliseconds(request, service));
            return decide(request, admitted);
        } catch (MarjoramnotchException refusal) {
            if (refusal.code() == ErrorCode.INVARIANT_VIOLATED) {
                throw refusal;
            }
            return refused(refusal.refusal());
        }
    }

    private Decision decide(PlaceRequest request, AdmittedRequest admitted) {
        Optional<CellReply> known = answerFromClaim(request, admitted.work());
        if (known.isPresent()) {
            return new Decision(known, Optional.empty());
        }
        Optional<Refusal> refusal = checkLimits(request, admitted);
        if (refusal.isPresent()) {
            context.metricsListener()
                    .onRefused(admitted.work().team().team(), refusal.get().code());
            return refused(refusal.get());
        }
        return new Decision(Optional.empty(), Optional.of(admitted));
    }

    /**
     * Answers from the idempotency claim. A claim that still runs is looked at again when the
     * reservation is applied, since its end may be on the way.
     */
    private Optional<CellReply> answerFromClaim(PlaceRequest request, AuthorizedWork work) {
        Optional<CommandResult> obstacle =
                request.claim()
                        .flatMap(
                                claim ->
                                        context.state()
                                                .findClaimConflict(
                                                        work.team().team(),
                                                        claim,
                                                        work.queue().repetition()));
        if (obstacle.isEmpty()) {
            return Optional.empty();
        }
        if (obstacle.get() instanceof CommandResult.AnsweredBefore before) {
            return Optional.of(new Replayed(before.answer()));
        }
        Refusal refusal = ((CommandResult.Rejected) obstacle.get()).refusal();
        return refusal.code() == ErrorCode.IDEMPOTENT_REQUEST_RUNNING
                ? Optional.empty()
                : Optional.of(new Refused(refusal));
    }

    private Optional<Refusal> checkLimits(PlaceRequest request, AdmittedRequest admitted) {
        SlotPool pool = context.pools().pool(admitted.pool());
        if (!pool.hasActiveEndpoints()) {
            return Optional.of(PlacementRefusals.noEndpoint(admitted.pool().service()));
        }
        if (request.waitMilliseconds() <= 0) {
            return Optional.of(PlacementRefusals.deadlineExceeded());
        }
        TeamBacklog backlog = pool.team(admitted.work().team().team());
        int capacity = context.settings().queueCapacity();
        if (backlog.waiting() >= capacity) {
            return Optional.of(PlacementRefusals.queueFull(capacity));
        }
        long expected = expectedWaitMilliseconds(request, admitted, pool, backlog);
        return expected > admitted.maximumWaitMilliseconds()
                ? Optional.of(PlacementRefusals.deadlineTooShort(expected))
                : Optional.empty();
    }

    /**
     * Returns how long a request may wait: less than asked by the time that most runs take, since a
     * caller does not await what is answered after its deadline.
     */
    private long maximumWaitMilliseconds(PlaceRequest request, ServiceName service) {
        AttemptStatistics runs = context.endpoints().health(service).statistics();
        if (request.kind() == SlotKind.FEED || !runs.hasRunTimeEstimate()) {
            return request.waitMilliseconds();
        }
        long mostRuns = (long) (RUN_TIME_FACTOR * runs.averageRunMilliseconds());
        return request.waitMilliseconds() - Math.min(mostRuns, request.waitMilliseconds() / 2);
    }

    /** Returns the wait in milliseconds, from the learned run time and the team's own backlog. */
    private long expectedWaitMilliseconds(
            PlaceRequest request, AdmittedRequest admitted, SlotPool pool, TeamBacklog backlog) {
        int ahead = request.urgent() ? backlog.urgentWaiting() : backlog.waiting();
        AttemptStatistics runs = context.endpoints().health(admitted.pool().service()).statistics();
        boolean known = request.kind() == SlotKind.REQUEST && runs.hasRunTimeEstimate();
        if (ahead == 0 || !known) {
            return 0;
        }
        int share = admitted.work().team().share();
        double entitled = (double) pool.capacity() * share / Math.max(share, pool.totalShares());
        double slots = Math.max(1, Math.max(entitled, backlog.outstanding()));
        return (long) (ahead * runs.averageRunMilliseconds() / slots);
    }

    private static Decision refused(Refusal refusal) {
        return new Decision(Optional.of(new Refused(refusal)), Optional.empty());
    }
}
