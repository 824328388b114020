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
 * Decides how one caller's request is attempted and which outcome the caller is truthfully told.
 *
 * <p>The host, which is the user of this class, calls a method for each event and executes the
 * returned actions in order. The caller is answered by exactly one {@link EntryAction.Relay},
 * {@link EntryAction.Replay} or {@link EntryAction.Refuse}, or by none if it has disconnected. A
 * quick request that may have been sent is still awaited after its deadline or the disconnect of
 * its caller, because it keeps using a slot of its endpoint: the host continues to read the answer
 * and reports the end. A retry of an attempt that may have run has no idempotency key; the key
 * remains with the earlier attempt until its slot is released. Not thread-safe.
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
    public RequestAttempts(
            EntryRequest request, AttemptIdGenerator attemptIds, RetryBudget budget) {
        this.request = request;
        this.attemptIds = attemptIds;
        this.budget = budget;
        this.attempt = attemptIds.next();
    }

    /** Returns the current attempt. Events of other attempts must not be reported. */
    public AttemptId attempt() {
        return attempt;
    }

    /** Returns the state of the current attempt. */
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
     * Handles the grant of an attempt. A grant after a refusal of the same attempt is returned; a
     * repeated grant has no effect. The host itself returns grants of requests that it no longer
     * tracks, by reporting outcome not run once no report of the attempt is unanswered.
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

    /** Records that the request was resent, so a copy may arrive after the leader's refusal. */
    public void onPlaceResent() {
        placeResent = true;
    }

    /**
     * Handles a refusal by the leader. If the request was resent, the attempt is reported as ended,
     * so that a delayed copy cannot reserve a slot that is never released.
     */
    public List<EntryAction> onRefused(AttemptId refused, Refusal refusal) {
        if (isOpen(refused) && granted == null) {
            endWithoutGrant();
            refuseCaller(refusal);
        }
        return takeActions();
    }

    /** Handles the stored answer of an earlier request with the same idempotency key. */
    public List<EntryAction> onReplayed(AttemptId replayed, StoredAnswer answer) {
        if (isOpen(replayed) && granted == null) {
            endWithoutGrant();
            answerCaller(new EntryAction.Replay(answer));
        }
        return takeActions();
    }

    /**
     * Returns whether the request may be sent; called directly before the first byte is written to
     * a socket. If not, the host closes the connection and calls {@link #onGrantTooLate}.
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

    /** Handles a grant that expired before anything was sent. */
    public List<EntryAction> onGrantTooLate(long nowMilliseconds) {
        if (state == AttemptState.NOT_SENT) {
            endAttempt(ExecutionOutcome.NOT_RUN, false, nowMilliseconds);
            retryOrRefuse(nowMilliseconds, EntryRefusals.grantTooLate(outcome()));
        }
        return takeActions();
    }

    /** Handles a connection that failed before the first byte was written to it. */
    public List<EntryAction> onConnectFailed(long nowMilliseconds) {
        if (state == AttemptState.NOT_SENT) {
            excludeEndpoint();
            endAttempt(ExecutionOutcome.NOT_RUN, true, nowMilliseconds);
            retryOrRefuse(nowMilliseconds, EntryRefusals.unreachable(outcome()));
        }
        return takeActions();
    }

    /** Handles an endpoint's answer that it has not run and will not run the request. */
    public List<EntryAction> onEndpointRefused(long nowMilliseconds) {
        if (state == AttemptState.MAYBE_SENT) {
            excludeEndpoint();
            endAttempt(ExecutionOutcome.NOT_RUN, true, nowMilliseconds);
            retryOrRefuse(nowMilliseconds, EntryRefusals.unreachable(outcome()));
        }
        return takeActions();
    }

    /** Handles the complete answer of the endpoint or, for a feed, its regular end. */
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

    /** Handles a broken connection or an incomplete answer after the first byte was written. */
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

    /** Handles the expiry of the caller's deadline. */
    public List<EntryAction> onDeadline(long nowMilliseconds) {
        if (state == AttemptState.NOT_SENT) {
            endAttempt(ExecutionOutcome.NOT_RUN, false, nowMilliseconds);
        }
        refuseCaller(EntryRefusals.deadlineExceeded(outcome()));
        return takeActions();
    }

    /** Handles a caller that has closed its connection. */
    public List<EntryAction> onCallerDisconnected(long nowMilliseconds) {
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
            throw new IllegalStateException("No grant was reported; call onGranted first.");
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
        boolean uncertain =
                earlierAttemptMayHaveRun && refusal.outcome() == ExecutionOutcome.NOT_RUN;
        Refusal corrected =
                uncertain
                        ? new Refusal(refusal.code(), ExecutionOutcome.UNKNOWN, refusal.message())
                        : refusal;
        answerCaller(new EntryAction.Refuse(corrected));
    }

    private void answerCaller(EntryAction action) {
        if (!answered) {
            answered = true;
            actions.add(action);
        }
    }

    private List<EntryAction> takeActions() {
        List<EntryAction> taken = List.copyOf(actions);
        actions.clear();
        return taken;
    }
}
