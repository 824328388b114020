package org.marjoramnotch.logic.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.model.endpoint.SlotKind;
import org.marjoramnotch.model.endpoint.StoredAnswer;
import org.marjoramnotch.model.error.ExecutionOutcome;
import org.marjoramnotch.model.error.Refusal;
import org.marjoramnotch.model.identifier.AttemptId;
import org.marjoramnotch.model.identifier.EndpointId;
import org.marjoramnotch.model.message.Granted;
import org.marjoramnotch.model.message.PlaceRequest;
import org.marjoramnotch.model.rule.Repetition;

/**
 * Decides how one caller's request is attempted, and what the caller is truthfully told.
 *
 * <p>The host reports each event by a method and carries out the returned steps in order. The
 * caller is answered by exactly one {@link EntryAction.Relay}, {@link EntryAction.Replay} or {@link
 * EntryStep.Refuse}, or none if it has gone. After a deadline or a gone caller, a quick request
 * that may have been sent is still awaited, since its endpoint's slot stays in use: the host keeps
 * reading and reports the end. An attempt after one that may have run carries no idempotency key,
 * which stays with the first until its slot is free. Not thread-safe.
 */
public final class RequestAttempts {
    private final EntryRequest request;
    private final AttemptIdGenerator attemptIds;
    private final RetryBudget budget;
    private final List<EndpointId> excluded = new ArrayList<>();
    private final List<EntryAction> actions = new ArrayList<>();
    private AttemptId attempt;
    private AttemptState state = AttemptState.NOT_SENT;
    private @Nullable Granted granted;
    private long grantedMilliseconds;
    private long sentMilliseconds;
    private boolean earlierAttemptMayHaveRun;
    private boolean refusedByLeader;
    private boolean placeResent;
    private boolean answered;

    /** Creates the attempts of a request; the budget is that of the caller's team. */
    public RequestAttempts(EntryRequest request, AttemptIdGenerator sequence, RetryBudget budget) {
        this.request = request;
        this.attemptIds = sequence;
        this.budget = budget;
        this.attempt = sequence.next();
    }

    /** Returns the current attempt; events of other attempts must not be reported. */
    public AttemptId attempt() {
        return attempt;
    }

    /** Returns how far the current attempt may have come. */
    public AttemptState state() {
        return state;
    }

    /** Starts the first attempt. */
    public List<EntryAction> start(long nowMilliseconds) {
        budget.onFirstAttempt();
        place(nowMilliseconds);
        return takeActions();
    }

    /**
     * The leader granted an attempt. One that was refused before is given back; a repeated grant
     * has no effect. The host gives back grants of requests that it has forgotten, by an end of
     * outcome not run, once no report of their attempt waits for its answer.
     */
    public List<EntryAction> onGranted(long nowMilliseconds, Granted grant) {
        if (isOpen(grant.attempt()) && granted == null) {
            granted = grant;
            grantedMilliseconds = nowMilliseconds;
            actions.add(new EntryAction.Send(grant));
        } else if (grant.attempt().equals(attempt) && refusedByLeader) {
            actions.add(AttemptEndReports.notSent(attempt));
        }
        return takeActions();
    }

    /** The request for a place was sent again; the leader may still meet it after its refusal. */
    public void onPlaceResent() {
        placeResent = true;
    }

    /**
     * The leader refused an attempt. If its request was sent more than once, it is reported as
     * ended, so that a copy on its way cannot reserve a slot that nobody frees.
     */
    public List<EntryAction> onRefused(AttemptId refused, Refusal refusal) {
        if (isOpen(refused) && granted == null) {
            endWithoutGrant();
            refuseCaller(refusal);
        }
        return takeActions();
    }

    /** The leader has the answer of an earlier request with the same idempotency key. */
    public List<EntryAction> onReplayed(AttemptId replayed, StoredAnswer answer) {
        if (isOpen(replayed) && granted == null) {
            endWithoutGrant();
            answerCaller(new EntryAction.Replay(answer));
        }
        return takeActions();
    }

    /**
     * Tells, directly before the first byte is handed to a socket, whether it may be. If not, the
     * host drops the connection and calls {@link #onGrantTooLate}.
     */
    public boolean beginSending(long nowMilliseconds) {
        if (state != AttemptState.NOT_SENT || granted == null) {
            return false;
        }
        long age = nowMilliseconds - grantedMilliseconds;
        if (age > granted.startWithinMilliseconds()
                || nowMilliseconds >= request.deadlineMilliseconds()) {
            return false;
        }
        state = AttemptState.MAYBE_SENT;
        sentMilliseconds = nowMilliseconds;
        return true;
    }

    /** The grant was too old to be used; nothing was sent. */
    public List<EntryAction> onGrantTooLate(long nowMilliseconds) {
        if (state == AttemptState.NOT_SENT) {
            endAttempt(ExecutionOutcome.NOT_RUN, false, nowMilliseconds);
            retryOrRefuse(nowMilliseconds, EntryRefusals.grantTooLate(outcome()));
        }
        return takeActions();
    }

    /** The connection failed before the first byte was handed to it. */
    public List<EntryAction> onConnectFailed(long nowMilliseconds) {
        if (state == AttemptState.NOT_SENT) {
            excludeEndpoint();
            endAttempt(ExecutionOutcome.NOT_RUN, true, nowMilliseconds);
            retryOrRefuse(nowMilliseconds, EntryRefusals.unreachable(outcome()));
        }
        return takeActions();
    }

    /** The endpoint answered that it has not run and will not run the request. */
    public List<EntryAction> onEndpointRefused(long nowMilliseconds) {
        if (state == AttemptState.MAYBE_SENT) {
            excludeEndpoint();
            endAttempt(ExecutionOutcome.NOT_RUN, true, nowMilliseconds);
            retryOrRefuse(nowMilliseconds, EntryRefusals.unreachable(outcome()));
        }
        return takeActions();
    }

    /** The endpoint's whole answer, or for a feed its regular end, has been received. */
    public List<EntryAction> onAnswerComplete(long nowMilliseconds, EndpointAnswer answer) {
        if (state == AttemptState.MAYBE_SENT) {
            state = AttemptState.ENDED;
            answerCaller(new EntryAction.Relay());
            actions.add(
                    AttemptEndReports.answered(
                            attempt,
                            answer,
                            request.claim().isPresent(),
                            nowMilliseconds - sentMilliseconds));
        }
        return takeActions();
    }

    /** The connection broke, or the answer was not whole, after the first byte was handed on. */
    public List<EntryAction> onAnswerBroken(long nowMilliseconds) {
        if (state == AttemptState.MAYBE_SENT) {
            Repetition repetition = requireGranted().repetition();
            excludeEndpoint();
            endAttempt(ExecutionOutcome.UNKNOWN, true, nowMilliseconds);
            earlierAttemptMayHaveRun = true;
            if (repetition == Repetition.ONCE) {
                refuseCaller(EntryRefusals.answerLost());
            } else {
                retryOrRefuse(nowMilliseconds, EntryRefusals.answerLost());
            }
        }
        return takeActions();
    }

    /** The caller's deadline has passed. */
    public List<EntryAction> onDeadline(long nowMilliseconds) {
        if (state == AttemptState.NOT_SENT) {
            endAttempt(ExecutionOutcome.NOT_RUN, false, nowMilliseconds);
        }
        refuseCaller(EntryRefusals.deadlineExceeded(outcome()));
        return takeActions();
    }

    /** The caller has closed its connection. */
    public List<EntryAction> onCallerGone(long nowMilliseconds) {
        answered = true;
        if (state == AttemptState.NOT_SENT) {
            endAttempt(ExecutionOutcome.NOT_RUN, false, nowMilliseconds);
        } else if (state == AttemptState.MAYBE_SENT && request.kind() == SlotKind.FEED) {
            actions.add(new EntryAction.Disconnect());
            endAttempt(ExecutionOutcome.RAN, false, nowMilliseconds);
        }
        return takeActions();
    }

    private boolean isOpen(AttemptId other) {
        return state != AttemptState.ENDED && other.equals(attempt);
    }

    private void place(long nowMilliseconds) {
        actions.add(
                new EntryAction.Place(
                        new PlaceRequest(
                                attempt,
                                request.credential(),
                                request.queue(),
                                request.kind(),
                                request.urgent(),
                                request.deadlineMilliseconds() - nowMilliseconds,
                                request.zone(),
                                earlierAttemptMayHaveRun ? Optional.empty() : request.claim(),
                                List.copyOf(excluded))));
    }

    private void excludeEndpoint() {
        excluded.add(requireGranted().endpoint());
    }

    private Granted requireGranted() {
        if (granted == null) {
            throw new IllegalStateException("Report the grant before what comes of it.");
        }
        return granted;
    }

    private void endWithoutGrant() {
        state = AttemptState.ENDED;
        refusedByLeader = true;
        if (placeResent) {
            actions.add(AttemptEndReports.notSent(attempt));
        }
    }

    private void endAttempt(
            ExecutionOutcome outcome, boolean endpointFailed, long nowMilliseconds) {
        long run =
                state == AttemptState.MAYBE_SENT
                        ? Math.max(0, nowMilliseconds - sentMilliseconds)
                        : 0;
        state = AttemptState.ENDED;
        actions.add(AttemptEndReports.ended(attempt, outcome, endpointFailed, run));
    }

    private void retryOrRefuse(long nowMilliseconds, Refusal refusal) {
        boolean inTime = nowMilliseconds < request.deadlineMilliseconds();
        if (!answered && inTime && budget.tryRetry()) {
            attempt = attemptIds.next();
            state = AttemptState.NOT_SENT;
            granted = null;
            placeResent = false;
            place(nowMilliseconds);
            return;
        }
        refuseCaller(refusal);
    }

    private ExecutionOutcome outcome() {
        return earlierAttemptMayHaveRun || state == AttemptState.MAYBE_SENT
                ? ExecutionOutcome.UNKNOWN
                : ExecutionOutcome.NOT_RUN;
    }

    private void refuseCaller(Refusal refusal) {
        boolean doubtful =
                earlierAttemptMayHaveRun && refusal.outcome() == ExecutionOutcome.NOT_RUN;
        Refusal truthful =
                doubtful
                        ? new Refusal(refusal.code(), ExecutionOutcome.UNKNOWN, refusal.message())
                        : refusal;
        answerCaller(new EntryAction.Refuse(truthful));
    }

    private void answerCaller(EntryAction step) {
        if (!answered) {
            answered = true;
            actions.add(step);
        }
    }

    private List<EntryAction> takeActions() {
        List<EntryAction> taken = List.copyOf(actions);
        actions.clear();
        return taken;
    }
}
