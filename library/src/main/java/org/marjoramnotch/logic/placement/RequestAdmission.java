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

/** Decides whether a new request is queued or answered immediately. */
final class RequestAdmission {
    private static final double RUN_TIME_FACTOR = 3;

    private final PlacementContext context;

    RequestAdmission(PlacementContext context) {
        this.context = context;
    }

    /**
     * A request that is admitted to the queue.
     *
     * @param work the authorized work, with the team and queue it is charged to
     * @param pool the pool whose slots it waits for
     * @param maximumWaitMilliseconds longest time it may wait and still be answered by its deadline
     */
    record AdmittedRequest(AuthorizedWork work, SlotPoolId pool, long maximumWaitMilliseconds) {}

    /**
     * The decision on a request: either a reply or an admitted request.
     *
     * @param reply the reply, if the request is answered immediately
     * @param admitted the request to queue otherwise
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
     * Returns the reply that the idempotency claim determines, if any. A claim that is still
     * running does not determine one: it is checked again when the reservation is applied, because
     * its end may already be in the log.
     */
    private Optional<CellReply> answerFromClaim(PlaceRequest request, AuthorizedWork work) {
        Optional<CommandResult> conflict =
                request.claim()
                        .flatMap(
                                claim ->
                                        context.state()
                                                .findClaimConflict(
                                                        work.team().team(),
                                                        claim,
                                                        work.queue().repetition()));
        if (conflict.isEmpty()) {
            return Optional.empty();
        }
        if (conflict.get() instanceof CommandResult.AnsweredBefore before) {
            return Optional.of(new Replayed(before.answer()));
        }
        Refusal refusal = ((CommandResult.Rejected) conflict.get()).refusal();
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
     * Returns how long a request may wait for its slot. This is the requested wait minus the time
     * that most runs take, but at least half of the requested wait, because an answer after the
     * deadline is of no use to the caller.
     */
    private long maximumWaitMilliseconds(PlaceRequest request, ServiceName service) {
        AttemptStatistics runs = context.endpoints().health(service).statistics();
        if (request.kind() == SlotKind.FEED || !runs.hasRunTimeEstimate()) {
            return request.waitMilliseconds();
        }
        long typicalRunMilliseconds = (long) (RUN_TIME_FACTOR * runs.averageRunMilliseconds());
        return request.waitMilliseconds()
                - Math.min(typicalRunMilliseconds, request.waitMilliseconds() / 2);
    }

    /**
     * Returns the expected wait in milliseconds, estimated from the average run time and the
     * backlog of the team.
     */
    private long expectedWaitMilliseconds(
            PlaceRequest request, AdmittedRequest admitted, SlotPool pool, TeamBacklog backlog) {
        int requestsAhead = request.urgent() ? backlog.urgentWaiting() : backlog.waiting();
        AttemptStatistics runs = context.endpoints().health(admitted.pool().service()).statistics();
        boolean known = request.kind() == SlotKind.REQUEST && runs.hasRunTimeEstimate();
        if (requestsAhead == 0 || !known) {
            return 0;
        }
        int share = admitted.work().team().share();
        double entitledSlots =
                (double) pool.capacity() * share / Math.max(share, pool.totalShares());
        double slots = Math.max(1, Math.max(entitledSlots, backlog.outstanding()));
        return (long) (requestsAhead * runs.averageRunMilliseconds() / slots);
    }

    private static Decision refused(Refusal refusal) {
        return new Decision(Optional.of(new Refused(refusal)), Optional.empty());
    }
}
