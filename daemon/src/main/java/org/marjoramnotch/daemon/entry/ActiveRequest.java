package org.marjoramnotch.daemon.entry;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.daemon.endpoint.WholeAnswer;
import org.marjoramnotch.logic.entry.AttemptState;
import org.marjoramnotch.logic.entry.EndpointAnswer;
import org.marjoramnotch.logic.entry.EntryStep;
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
    private static final long GRACE_MILLISECONDS = 500;

    private final CallerRequest caller;
    private final RequestAttempts attempts;
    private final EntryHost host;
    private final CompletableFuture<CallerAnswer> result;
    private final Runnable ended;
    private final long arrivedMilliseconds;
    private @Nullable EndpointCall call;
    private @Nullable WholeAnswer answer;
    private @Nullable TeamName team;
    private boolean answered;
    private boolean deadlinePassed;
    private boolean over;

    ActiveRequest(
            CallerRequest caller,
            RequestAttempts attempts,
            EntryHost host,
            CompletableFuture<CallerAnswer> result,
            Runnable ended,
            long arrivedMilliseconds) {
        this.caller = caller;
        this.attempts = attempts;
        this.host = host;
        this.result = result;
        this.ended = ended;
        this.arrivedMilliseconds = arrivedMilliseconds;
    }

    void start(long nowMilliseconds) {
        run(nowMilliseconds, attempts.start(nowMilliseconds));
    }

    AttemptId attempt() {
        return attempts.attempt();
    }

    /** The caller's deadline has passed; a feed that has begun has none. */
    void onDeadline(long nowMilliseconds) {
        if (over || answered) {
            return;
        }
        deadlinePassed = true;
        run(nowMilliseconds, attempts.onDeadline(nowMilliseconds));
        if (isFeed()) {
            onCallerGone(nowMilliseconds);
        }
    }

    /** Stops awaiting the endpoint of a request whose caller was answered long ago. */
    void onAbandon(long nowMilliseconds) {
        EndpointCall waiting = call;
        if (!over && deadlinePassed && waiting != null) {
            waiting.abandon(nowMilliseconds);
        }
    }

    /** The caller listens no more, or must not. */
    void onCallerGone(long nowMilliseconds) {
        if (!over) {
            answered = true;
            run(nowMilliseconds, attempts.onCallerGone(nowMilliseconds));
        }
    }

    /** Hands the head of a feed's answer to the caller. */
    void onFeedOpened(CallerAnswer.Feed feed) {
        answerCaller(feed);
    }

    boolean beginSending(long nowMilliseconds) {
        boolean may = attempts.beginSending(nowMilliseconds);
        if (may && team != null) {
            host.metrics().waited(team, workClass(), nowMilliseconds - arrivedMilliseconds);
        }
        return may;
    }

    void onGrantTooLate(long nowMilliseconds) {
        run(nowMilliseconds, attempts.onGrantTooLate(nowMilliseconds));
    }

    void onConnectFailed(long nowMilliseconds) {
        run(nowMilliseconds, attempts.onConnectFailed(nowMilliseconds));
    }

    void onEndpointRefused(long nowMilliseconds) {
        run(nowMilliseconds, attempts.onEndpointRefused(nowMilliseconds));
    }

    void onAnswerBroken(long nowMilliseconds) {
        run(nowMilliseconds, attempts.onAnswerBroken(nowMilliseconds));
    }

    void onAnswerComplete(long nowMilliseconds, WholeAnswer whole) {
        answer = whole;
        run(
                nowMilliseconds,
                attempts.onAnswerComplete(
                        nowMilliseconds,
                        new EndpointAnswer(whole.status(), StoredAnswers.of(whole))));
    }

    private void run(long nowMilliseconds, List<EntryStep> steps) {
        steps.forEach(step -> run(nowMilliseconds, step));
        if (!over && answered && attempts.state() == AttemptState.ENDED) {
            over = true;
            ended.run();
        }
    }

    private void run(long nowMilliseconds, EntryStep step) {
        if (step instanceof EntryStep.Place place) {
            place(nowMilliseconds, place.request());
        } else if (step instanceof EntryStep.Send send) {
            send(nowMilliseconds, send.granted());
        } else if (step instanceof EntryStep.Report report) {
            host.reports().report(nowMilliseconds, report.end());
        } else if (step instanceof EntryStep.Relay) {
            relay(nowMilliseconds);
        } else if (step instanceof EntryStep.Replay replay) {
            answerCaller(new CallerAnswer.Replay(replay.answer()));
        } else if (step instanceof EntryStep.Refuse refuse) {
            host.metrics().refused(refuse.refusal().code());
            answerCaller(new CallerAnswer.Refusing(refuse.refusal()));
        } else if (step instanceof EntryStep.Disconnect && call != null) {
            call.disconnect();
        }
    }

    private void place(long nowMilliseconds, PlaceRequest request) {
        long deadline =
                Math.max(nowMilliseconds, caller.request().deadlineMilliseconds())
                        + GRACE_MILLISECONDS;
        host.whenDone(
                host.client().send(request, deadline),
                (now, reply) -> onReply(now, request.attempt(), reply),
                this::onDeadline);
    }

    private void onReply(long nowMilliseconds, AttemptId of, CellReply reply) {
        if (reply instanceof Granted grant) {
            onGranted(nowMilliseconds, grant);
        } else if (reply instanceof Replayed replayed) {
            run(nowMilliseconds, attempts.onReplayed(of, replayed.answer()));
        } else if (reply instanceof Refused refused) {
            onRefused(nowMilliseconds, of, refused.refusal());
        }
    }

    private void onGranted(long nowMilliseconds, Granted grant) {
        boolean awaited =
                grant.attempt().equals(attempts.attempt())
                        && attempts.state() == AttemptState.NOT_SENT;
        run(nowMilliseconds, attempts.onGranted(nowMilliseconds, grant));
        if (!awaited) {
            host.reports().report(nowMilliseconds, notRun(grant.attempt()));
        }
    }

    /** A leader that was not reached may still grant, so that the attempt has to be ended. */
    private void onRefused(long nowMilliseconds, AttemptId of, Refusal refusal) {
        if (refusal.code() == ErrorCode.NO_LEADER) {
            host.reports().report(nowMilliseconds, notRun(of));
        }
        run(nowMilliseconds, attempts.onRefused(of, refusal));
    }

    private void send(long nowMilliseconds, Granted grant) {
        team = grant.team();
        EndpointCall started = new EndpointCall(this, host, caller.forwarded(), grant, isFeed());
        call = started;
        started.start(nowMilliseconds);
    }

    private void relay(long nowMilliseconds) {
        if (answer != null && !isFeed()) {
            answerCaller(new CallerAnswer.Whole(answer));
        }
        if (team != null) {
            host.metrics().answered(team, workClass(), nowMilliseconds - arrivedMilliseconds);
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
