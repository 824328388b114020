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
 * caller is answered by exactly one {@link EntryStep.Relay}, {@link EntryStep.Replay} or {@link
 * EntryStep.Refuse}, or none if it has gone. After a deadline or a gone caller, a quick request
 * that may have been sent is still awaited, since its endpoint's slot stays in use: the host keeps
 * reading and reports the end. An attempt after one that may have run carries no idempotency key,
 * which stays with the first until its slot is free. Not thread-safe.
 */
public final class RequestAttempts {
    private final EntryRequest request;
    private final AttemptSequence sequence;
    private final RetryBudget budget;
    private final List<EndpointId> excluded = new ArrayList<>();
    private final List<EntryStep> steps = new ArrayList<>();
    private AttemptId attempt;
    private AttemptState state = AttemptState.NOT_SENT;
    private @Nullable Granted granted;
    private long grantedMilliseconds;
    private long sentMilliseconds;
    private boolean earlierMaybeRan;
    private boolean refusedByLeader;
    private boolean resent;
    private boolean answered;

    /** Creates the attempts of a request; the budget is that of the caller's team. */
    public RequestAttempts(EntryRequest request, AttemptSequence sequence, RetryBudget budget) {
        this.request = request;
        this.sequence = sequence;
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
    public List<EntryStep> start(long nowMilliseconds) {
        budget.onFirstAttempt();
        place(nowMilliseconds);
        return takeSteps();
    }

    /**
     * The leader granted an attempt. One that was refused before is given back; a repeated grant
     * has no effect. The host gives back grants of requests that it has forgotten, by an end of
     * outcome not run, once no report of their attempt waits for its answer.
     */
    public List<EntryStep> onGranted(long nowMilliseconds, Granted grant) {
        if (isOpen(grant.attempt()) && granted == null) {
            granted = grant;
            grantedMilliseconds = nowMilliseconds;
            steps.add(new EntryStep.Send(grant));
        } else if (grant.attempt().equals(attempt) && refusedByLeader) {
            steps.add(AttemptReports.notSent(attempt));
        }
        return takeSteps();
    }

    /** The request for a place was sent again; the leader may still meet it after its refusal. */
    public void onPlaceResent() {
        resent = true;
    }

    /**
     * The leader refused an attempt. If its request was sent more than once, it is reported as
     * ended, so that a copy on its way cannot reserve a slot that nobody frees.
     */
    public List<EntryStep> onRefused(AttemptId refused, Refusal refusal) {
        if (isOpen(refused) && granted == null) {
            endUnplaced();
            refuse(refusal);
        }
        return takeSteps();
    }

    /** The leader has the answer of an earlier request with the same idempotency key. */
    public List<EntryStep> onReplayed(AttemptId replayed, StoredAnswer answer) {
        if (isOpen(replayed) && granted == null) {
            endUnplaced();
            answer(new EntryStep.Replay(answer));
        }
        return takeSteps();
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
    public List<EntryStep> onGrantTooLate(long nowMilliseconds) {
        if (state == AttemptState.NOT_SENT) {
            giveUp(ExecutionOutcome.NOT_RUN, false, nowMilliseconds);
            retryOrRefuse(nowMilliseconds, CallerRefusals.grantTooLate(outcome()));
        }
        return takeSteps();
    }

    /** The connection failed before the first byte was handed to it. */
    public List<EntryStep> onConnectFailed(long nowMilliseconds) {
        if (state == AttemptState.NOT_SENT) {
            excludeEndpoint();
            giveUp(ExecutionOutcome.NOT_RUN, true, nowMilliseconds);
            retryOrRefuse(nowMilliseconds, CallerRefusals.unreachable(outcome()));
        }
        return takeSteps();
    }

    /** The endpoint answered that it has not run and will not run the request. */
    public List<EntryStep> onEndpointRefused(long nowMilliseconds) {
        if (state == AttemptState.MAYBE_SENT) {
            excludeEndpoint();
            giveUp(ExecutionOutcome.NOT_RUN, true, nowMilliseconds);
            retryOrRefuse(nowMilliseconds, CallerRefusals.unreachable(outcome()));
        }
        return takeSteps();
    }

    /** The endpoint's whole answer, or for a feed its regular end, has been received. */
    public List<EntryStep> onAnswerComplete(long nowMilliseconds, EndpointAnswer answer) {
        if (state == AttemptState.MAYBE_SENT) {
            state = AttemptState.ENDED;
            answer(new EntryStep.Relay());
            steps.add(
                    AttemptReports.answered(
                            attempt,
                            answer,
                            request.claim().isPresent(),
                            nowMilliseconds - sentMilliseconds));
        }
        return takeSteps();
    }

    /** The connection broke, or the answer was not whole, after the first byte was handed on. */
    public List<EntryStep> onAnswerBroken(long nowMilliseconds) {
        if (state == AttemptState.MAYBE_SENT) {
            Repetition repetition = requireGranted().repetition();
            excludeEndpoint();
            giveUp(ExecutionOutcome.UNKNOWN, true, nowMilliseconds);
            earlierMaybeRan = true;
            if (repetition == Repetition.ONCE) {
                refuse(CallerRefusals.answerLost());
            } else {
                retryOrRefuse(nowMilliseconds, CallerRefusals.answerLost());
            }
        }
        return takeSteps();
    }

    /** The caller's deadline has passed. */
    public List<EntryStep> onDeadline(long nowMilliseconds) {
        if (state == AttemptState.NOT_SENT) {
            giveUp(ExecutionOutcome.NOT_RUN, false, nowMilliseconds);
        }
        refuse(CallerRefusals.deadlineExceeded(outcome()));
        return takeSteps();
    }

    /** The caller has closed its connection. */
    public List<EntryStep> onCallerGone(long nowMilliseconds) {
        answered = true;
        if (state == AttemptState.NOT_SENT) {
            giveUp(ExecutionOutcome.NOT_RUN, false, nowMilliseconds);
        } else if (state == AttemptState.MAYBE_SENT && request.kind() == SlotKind.FEED) {
            steps.add(new EntryStep.Disconnect());
            giveUp(ExecutionOutcome.RAN, false, nowMilliseconds);
        }
        return takeSteps();
    }

    private boolean isOpen(AttemptId other) {
        return state != AttemptState.ENDED && other.equals(attempt);
    }

    private void place(long nowMilliseconds) {
        steps.add(
                new EntryStep.Place(
                        new PlaceRequest(
                                attempt,
                                request.credential(),
                                request.queue(),
                                request.kind(),
                                request.urgent(),
                                request.deadlineMilliseconds() - nowMilliseconds,
                                request.zone(),
                                earlierMaybeRan ? Optional.empty() : request.claim(),
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

    private void endUnplaced() {
        state = AttemptState.ENDED;
        refusedByLeader = true;
        if (resent) {
            steps.add(AttemptReports.notSent(attempt));
        }
    }

    private void giveUp(ExecutionOutcome outcome, boolean endpointFailed, long nowMilliseconds) {
        long run =
                state == AttemptState.MAYBE_SENT
                        ? Math.max(0, nowMilliseconds - sentMilliseconds)
                        : 0;
        state = AttemptState.ENDED;
        steps.add(AttemptReports.ended(attempt, outcome, endpointFailed, run));
    }

    private void retryOrRefuse(long nowMilliseconds, Refusal refusal) {
        boolean inTime = nowMilliseconds < request.deadlineMilliseconds();
        if (!answered && inTime && budget.tryRetry()) {
            attempt = sequence.next();
            state = AttemptState.NOT_SENT;
            granted = null;
            resent = false;
            place(nowMilliseconds);
            return;
        }
        refuse(refusal);
    }

    private ExecutionOutcome outcome() {
        return earlierMaybeRan || state == AttemptState.MAYBE_SENT
                ? ExecutionOutcome.UNKNOWN
                : ExecutionOutcome.NOT_RUN;
    }

    private void refuse(Refusal refusal) {
        boolean doubtful = earlierMaybeRan && refusal.outcome() == ExecutionOutcome.NOT_RUN;
        Refusal truthful =
                doubtful
                        ? new Refusal(refusal.code(), ExecutionOutcome.UNKNOWN, refusal.message())
                        : refusal;
        answer(new EntryStep.Refuse(truthful));
    }

    private void answer(EntryStep step) {
        if (!answered) {
            answered = true;
            steps.add(step);
        }
    }

    private List<EntryStep> takeSteps() {
        List<EntryStep> taken = List.copyOf(steps);
        steps.clear();
        return taken;
    }
}
