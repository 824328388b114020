package org.marjoramnotch.logic.workflow;

import java.util.OptionalLong;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.order.CallOutcome;
import org.marjoramnotch.model.order.ListRuns;
import org.marjoramnotch.model.order.RejectionReason;
import org.marjoramnotch.model.order.StartRun;
import org.marjoramnotch.model.order.WorkerCall;

/** Handles the outcomes of calls to one worker incarnation, which the next one may answer. */
final class WorkerOutcomeHandler {
    private final WorkerIncarnation worker;
    private final WorkerLease lease;
    private final IncarnationState incarnation;
    private final RunOrderTracker orders;
    private final WorkerHealth health;
    private final RunListPoller lists;
    private final ResponseTracker answers;
    private final RunListCalls listCalls;

    WorkerOutcomeHandler(
            WorkerIncarnation worker,
            WorkerLease lease,
            IncarnationState incarnation,
            RunOrderTracker orders,
            WorkerHealth health,
            RunListPoller lists,
            ResponseTracker answers,
            RunListCalls listCalls) {
        this.worker = worker;
        this.lease = lease;
        this.incarnation = incarnation;
        this.orders = orders;
        this.health = health;
        this.lists = lists;
        this.answers = answers;
        this.listCalls = listCalls;
    }

    /** Handles the outcome of a call; returns whether the worker has answered. */
    boolean onOutcome(
            long nowMilliseconds,
            WorkerCall call,
            long sentAt,
            CallOutcome outcome,
            LeaderOutput output) {
        if (call instanceof ListRuns) {
            lists.onOutcome();
        }
        if (outcome instanceof CallOutcome.ConnectionRefused
                || outcome instanceof CallOutcome.Unanswered) {
            onUnanswered(nowMilliseconds, call, output);
            return false;
        }
        answers.onAnswer(nowMilliseconds, call, lists.runCount(), output);
        if (outcome instanceof CallOutcome.Listed list) {
            onList(nowMilliseconds, (ListRuns) call, sentAt, list, output);
        } else if (outcome instanceof CallOutcome.Accepted accepted) {
            if (isOfThisLife(
                    nowMilliseconds, call, sentAt, accepted.workerClockMilliseconds(), output)) {
                orders.onAnswered(call);
            } else if (call instanceof StartRun start) {
                lists.nextLife().onStarted(start.run());
            }
        } else if (outcome instanceof CallOutcome.Rejected rejected) {
            if (isOfThisLife(
                    nowMilliseconds, call, sentAt, rejected.workerClockMilliseconds(), output)) {
                onRejected(nowMilliseconds, call, rejected.reason(), output);
            }
        }
        return true;
    }

    /**
     * Returns whether an answer to an order may be of this life. The clock of a life begins anew,
     * so that an answer with a clock behind it shows that the next life has carried out the order.
     */
    private boolean isOfThisLife(
            long nowMilliseconds,
            WorkerCall call,
            long sentAt,
            OptionalLong workerClock,
            LeaderOutput output) {
        if (workerClock.isPresent() && lease.isBehind(sentAt, workerClock.getAsLong())) {
            orders.onAnswered(call);
            onNextLifeAnswered(nowMilliseconds, call, output);
            return false;
        }
        workerClock.ifPresent(clock -> lease.onAnswer(sentAt, nowMilliseconds, clock));
        if (call instanceof StartRun
                || (call instanceof ListRuns list && list.leaseUntil().isPresent())) {
            lease.onGrantAnswered();
        }
        return true;
    }

    private void onNextLifeAnswered(long nowMilliseconds, WorkerCall call, LeaderOutput output) {
        if (incarnation.onNamesakeAnswered()) {
            answers.onNextLife(call, lists.runCount(), output);
            listCalls.fenceNextLife(nowMilliseconds, output);
        }
        orders.endStarts();
    }

    private void onUnanswered(long nowMilliseconds, WorkerCall call, LeaderOutput output) {
        incarnation.onUnanswered();
        answers.onUnanswered(nowMilliseconds, call, lists.runCount(), output);
        orders.onUnanswered(nowMilliseconds, call);
        if (call instanceof ListRuns) {
            lists.onUnanswered(nowMilliseconds);
        }
    }

    private void onRejected(
            long nowMilliseconds, WorkerCall call, RejectionReason reason, LeaderOutput output) {
        answers.onRejected(call, reason, output);
        if (incarnation.onRejected(reason)) {
            orders.onAnswered(call);
            return;
        }
        if (reason == RejectionReason.UNHEALTHY) {
            health.quarantine(nowMilliseconds, "refuses_calls", output);
        }
        if (call instanceof ListRuns) {
            listCalls.onRejected();
            lists.onRejected(nowMilliseconds);
        }
        orders.onRejected(nowMilliseconds, call, reason, output)
                .ifPresent(end -> lists.proposeRefused(nowMilliseconds, end, call, output));
    }

    private void onList(
            long nowMilliseconds,
            ListRuns call,
            long sentAt,
            CallOutcome.Listed list,
            LeaderOutput output) {
        if (!list.mayBeOf(worker)) {
            onNextLifeAnswered(nowMilliseconds, call, output);
            lists.nextLife().onList(list, output);
            return;
        }
        lease.onAnswer(sentAt, nowMilliseconds, list.workerClockMilliseconds());
        if (call.leaseUntil().isPresent()) {
            lease.onGrantAnswered();
        }
        incarnation.onListed(nowMilliseconds);
        listCalls.onListed();
        lists.onList(nowMilliseconds, call, list, output);
    }
}
