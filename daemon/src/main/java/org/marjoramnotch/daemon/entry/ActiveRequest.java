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

/** A caller's request on its way: carries out the steps of its {@link RequestAttempts}. */
final class ActiveRequest {
    private static final long PLACEMENT_GRACE_MILLISECONDS = 500;

    private final CallerRequest caller;
    private final RequestAttempts attempts;
    private final EntryContext host;
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
            EntryContext host,
            CompletableFuture<CallerAnswer> result,
            Runnable ended,
            long arrivedMilliseconds) {
        this.caller = caller;
        this.attempts = attempts;
        this.host = host;
        this.result = result;
        this.onFinished = ended;
        this.arrivedMilliseconds = arrivedMilliseconds;
    }

    void start(long nowMilliseconds) {
        carryOut(nowMilliseconds, attempts.start(nowMilliseconds));
    }

    AttemptId attempt() {
        return attempts.attempt();
    }

    /** The caller's deadline has passed; a feed that has begun has none. */
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

    /** Stops awaiting the endpoint of a request whose caller was answered long ago. */
    void onAbandon(long nowMilliseconds) {
        EndpointCall waiting = call;
        if (!finished && deadlinePassed && waiting != null) {
            waiting.abandon(nowMilliseconds);
        }
    }

    /** The caller listens no more, or must not. */
    void onCallerDisconnected(long nowMilliseconds) {
        if (!finished) {
            answered = true;
            carryOut(nowMilliseconds, attempts.onCallerGone(nowMilliseconds));
        }
    }

    /** Hands the head of a feed's answer to the caller. */
    void onFeedOpened(CallerAnswer.Feed feed) {
        answerCaller(feed);
    }

    boolean beginSending(long nowMilliseconds) {
        boolean may = attempts.beginSending(nowMilliseconds);
        if (may && team != null) {
            host.metrics().recordWaitTime(team, workClass(), nowMilliseconds - arrivedMilliseconds);
        }
        return may;
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

    void onAnswerComplete(long nowMilliseconds, CompleteAnswer whole) {
        answer = whole;
        carryOut(
                nowMilliseconds,
                attempts.onAnswerComplete(
                        nowMilliseconds,
                        new EndpointAnswer(whole.status(), StoredAnswers.of(whole))));
    }

    private void carryOut(long nowMilliseconds, List<EntryAction> steps) {
        steps.forEach(step -> carryOut(nowMilliseconds, step));
        if (!finished && answered && attempts.state() == AttemptState.ENDED) {
            finished = true;
            onFinished.run();
        }
    }

    private void carryOut(long nowMilliseconds, EntryAction step) {
        if (step instanceof EntryAction.Place place) {
            place(nowMilliseconds, place.request());
        } else if (step instanceof EntryAction.Send send) {
            send(nowMilliseconds, send.granted());
        } else if (step instanceof EntryAction.Report report) {
            host.reports().report(nowMilliseconds, report.end());
        } else if (step instanceof EntryAction.Relay) {
            relay(nowMilliseconds);
        } else if (step instanceof EntryAction.Replay replay) {
            answerCaller(new CallerAnswer.Replay(replay.answer()));
        } else if (step instanceof EntryAction.Refuse refuse) {
            host.metrics().countRefusal(refuse.refusal().code());
            answerCaller(new CallerAnswer.Refused(refuse.refusal()));
        } else if (step instanceof EntryAction.Disconnect && call != null) {
            call.disconnect();
        }
    }

    private void place(long nowMilliseconds, PlaceRequest request) {
        long deadline =
                Math.max(nowMilliseconds, caller.request().deadlineMilliseconds())
                        + PLACEMENT_GRACE_MILLISECONDS;
        host.whenDone(
                host.client().send(request, deadline),
                (now, reply) -> onReply(now, request.attempt(), reply),
                this::onDeadline);
    }

    private void onReply(long nowMilliseconds, AttemptId of, CellReply reply) {
        if (reply instanceof Granted grant) {
            onGranted(nowMilliseconds, grant);
        } else if (reply instanceof Replayed replayed) {
            carryOut(nowMilliseconds, attempts.onReplayed(of, replayed.answer()));
        } else if (reply instanceof Refused refused) {
            onRefused(nowMilliseconds, of, refused.refusal());
        }
    }

    private void onGranted(long nowMilliseconds, Granted grant) {
        boolean awaited =
                grant.attempt().equals(attempts.attempt())
                        && attempts.state() == AttemptState.NOT_SENT;
        carryOut(nowMilliseconds, attempts.onGranted(nowMilliseconds, grant));
        if (!awaited) {
            host.reports().report(nowMilliseconds, notRun(grant.attempt()));
        }
    }

    /** A leader that was not reached may still grant, so that the attempt has to be ended. */
    private void onRefused(long nowMilliseconds, AttemptId of, Refusal refusal) {
        if (refusal.code() == ErrorCode.NO_LEADER) {
            host.reports().report(nowMilliseconds, notRun(of));
        }
        carryOut(nowMilliseconds, attempts.onRefused(of, refusal));
    }

    private void send(long nowMilliseconds, Granted grant) {
        team = grant.team();
        EndpointCall started = new EndpointCall(this, host, caller.forwarded(), grant, isFeed());
        call = started;
        started.start(nowMilliseconds);
    }

    private void relay(long nowMilliseconds) {
        if (answer != null && !isFeed()) {
            answerCaller(new CallerAnswer.Complete(answer));
        }
        if (team != null) {
            host.metrics()
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

    private static EndAttempt notRun(AttemptId of) {
        return new EndAttempt(of, ExecutionOutcome.NOT_RUN, false, 0, Optional.empty());
    }
}
