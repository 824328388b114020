package org.marjoramnotch.daemon.entry;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.daemon.endpoint.CompleteAnswer;
import org.marjoramnotch.logic.entry.AttemptState;
import org.marjoramnotch.logic.entry.EndpointAnswer;
import org.marjoramnotch.logic.entry.EntryAction;
import org.marjoramnotch.logic.entry.RequestAttempts;
import org.marjoramnotch.model.endpoint.SlotKind;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.ExecutionOutcome;
import org.marjoramnotch.model.error.Refusal;
import org.marjoramnotch.model.identifier.AttemptId;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.EndAttempt;
import org.marjoramnotch.model.message.Granted;
import org.marjoramnotch.model.message.PlaceRequest;
import org.marjoramnotch.model.message.Refused;
import org.marjoramnotch.model.message.Replayed;

/** A caller's request in progress: executes the actions of its {@link RequestAttempts}. */
final class ActiveRequest {
    private static final long PLACEMENT_GRACE_MILLISECONDS = 500;

    private final CallerRequest caller;
    private final RequestAttempts attempts;
    private final EntryContext context;
    private final CompletableFuture<CallerAnswer> result;
    private final Runnable onFinished;
    private final long arrivedMilliseconds;
    private @Nullable EndpointCall call;
    private @Nullable CompleteAnswer answer;
    private @Nullable TeamName team;
    private boolean answered;
    private boolean deadlinePassed;
    private boolean finished;

    ActiveRequest(
            CallerRequest caller,
            RequestAttempts attempts,
            EntryContext context,
            CompletableFuture<CallerAnswer> result,
            Runnable onFinished,
            long arrivedMilliseconds) {
        this.caller = caller;
        this.attempts = attempts;
        this.context = context;
        this.result = result;
        this.onFinished = onFinished;
        this.arrivedMilliseconds = arrivedMilliseconds;
    }

    void start(long nowMilliseconds) {
        carryOut(nowMilliseconds, attempts.start(nowMilliseconds));
    }

    AttemptId attempt() {
        return attempts.attempt();
    }

    /** Handles the expiry of the caller's deadline; a feed that has begun has no deadline. */
    void onDeadline(long nowMilliseconds) {
        if (finished || answered) {
            return;
        }
        deadlinePassed = true;
        carryOut(nowMilliseconds, attempts.onDeadline(nowMilliseconds));
        if (isFeed()) {
            onCallerDisconnected(nowMilliseconds);
        }
    }

    /** Stops waiting for the endpoint if the caller has already been answered at its deadline. */
    void onAbandon(long nowMilliseconds) {
        EndpointCall waiting = call;
        if (!finished && deadlinePassed && waiting != null) {
            waiting.abandon(nowMilliseconds);
        }
    }

    /** Handles a caller that has disconnected or must no longer be served. */
    void onCallerDisconnected(long nowMilliseconds) {
        if (!finished) {
            answered = true;
            carryOut(nowMilliseconds, attempts.onCallerDisconnected(nowMilliseconds));
        }
    }

    /** Answers the caller with the opened response of a feed. */
    void onFeedOpened(CallerAnswer.Feed feed) {
        answerCaller(feed);
    }

    boolean beginSending(long nowMilliseconds) {
        boolean permitted = attempts.beginSending(nowMilliseconds);
        if (permitted && team != null) {
            context.metrics()
                    .recordWaitTime(team, workClass(), nowMilliseconds - arrivedMilliseconds);
        }
        return permitted;
    }

    void onGrantTooLate(long nowMilliseconds) {
        carryOut(nowMilliseconds, attempts.onGrantTooLate(nowMilliseconds));
    }

    void onConnectFailed(long nowMilliseconds) {
        carryOut(nowMilliseconds, attempts.onConnectFailed(nowMilliseconds));
    }

    void onEndpointRefused(long nowMilliseconds) {
        carryOut(nowMilliseconds, attempts.onEndpointRefused(nowMilliseconds));
    }

    void onAnswerBroken(long nowMilliseconds) {
        carryOut(nowMilliseconds, attempts.onAnswerBroken(nowMilliseconds));
    }

    void onAnswerComplete(long nowMilliseconds, CompleteAnswer completeAnswer) {
        answer = completeAnswer;
        carryOut(
                nowMilliseconds,
                attempts.onAnswerComplete(
                        nowMilliseconds,
                        new EndpointAnswer(
                                completeAnswer.status(), StoredAnswers.of(completeAnswer))));
    }

    private void carryOut(long nowMilliseconds, List<EntryAction> actions) {
        actions.forEach(action -> carryOut(nowMilliseconds, action));
        if (!finished && answered && attempts.state() == AttemptState.ENDED) {
            finished = true;
            onFinished.run();
        }
    }

    private void carryOut(long nowMilliseconds, EntryAction action) {
        if (action instanceof EntryAction.Place place) {
            place(nowMilliseconds, place.request());
        } else if (action instanceof EntryAction.Send send) {
            send(nowMilliseconds, send.granted());
        } else if (action instanceof EntryAction.Report report) {
            context.reports().report(nowMilliseconds, report.end());
        } else if (action instanceof EntryAction.Relay) {
            relay(nowMilliseconds);
        } else if (action instanceof EntryAction.Replay replay) {
            answerCaller(new CallerAnswer.Replay(replay.answer()));
        } else if (action instanceof EntryAction.Refuse refuse) {
            context.metrics().countRefusal(refuse.refusal().code());
            answerCaller(new CallerAnswer.Refused(refuse.refusal()));
        } else if (action instanceof EntryAction.Disconnect && call != null) {
            call.disconnect();
        }
    }

    private void place(long nowMilliseconds, PlaceRequest request) {
        long deadline =
                Math.max(nowMilliseconds, caller.request().deadlineMilliseconds())
                        + PLACEMENT_GRACE_MILLISECONDS;
        context.whenDone(
                context.client().send(request, deadline),
                (now, reply) -> onReply(now, request.attempt(), reply),
                this::onDeadline);
    }

    private void onReply(long nowMilliseconds, AttemptId attempt, CellReply reply) {
        if (reply instanceof Granted grant) {
            onGranted(nowMilliseconds, grant);
        } else if (reply instanceof Replayed replayed) {
            carryOut(nowMilliseconds, attempts.onReplayed(attempt, replayed.answer()));
        } else if (reply instanceof Refused refused) {
            onRefused(nowMilliseconds, attempt, refused.refusal());
        }
    }

    private void onGranted(long nowMilliseconds, Granted grant) {
        boolean awaited =
                grant.attempt().equals(attempts.attempt())
                        && attempts.state() == AttemptState.NOT_SENT;
        carryOut(nowMilliseconds, attempts.onGranted(nowMilliseconds, grant));
        if (!awaited) {
            context.reports().report(nowMilliseconds, notRun(grant.attempt()));
        }
    }

    /**
     * Handles a refusal. If no leader was reached, a leader may still grant the attempt later, so
     * its end is reported.
     */
    private void onRefused(long nowMilliseconds, AttemptId attempt, Refusal refusal) {
        if (refusal.code() == ErrorCode.NO_LEADER) {
            context.reports().report(nowMilliseconds, notRun(attempt));
        }
        carryOut(nowMilliseconds, attempts.onRefused(attempt, refusal));
    }

    private void send(long nowMilliseconds, Granted grant) {
        team = grant.team();
        EndpointCall started = new EndpointCall(this, context, caller.forwarded(), grant, isFeed());
        call = started;
        started.start(nowMilliseconds);
    }

    private void relay(long nowMilliseconds) {
        if (answer != null && !isFeed()) {
            answerCaller(new CallerAnswer.Complete(answer));
        }
        if (team != null) {
            context.metrics()
                    .recordTotalTime(team, workClass(), nowMilliseconds - arrivedMilliseconds);
        }
    }

    private void answerCaller(CallerAnswer given) {
        answered = true;
        result.complete(given);
    }

    private boolean isFeed() {
        return caller.request().kind() == SlotKind.FEED;
    }

    private String workClass() {
        if (isFeed()) {
            return "feed";
        }
        return caller.request().urgent() ? "urgent" : "quick";
    }

    private static EndAttempt notRun(AttemptId attempt) {
        return new EndAttempt(attempt, ExecutionOutcome.NOT_RUN, false, 0, Optional.empty());
    }
}
