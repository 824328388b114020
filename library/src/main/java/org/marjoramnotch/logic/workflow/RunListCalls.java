package org.marjoramnotch.logic.workflow;

import java.util.OptionalLong;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.model.order.ListRuns;

/** Sends the list calls to one worker incarnation, which also renew its lease. */
final class RunListCalls {
    private final WorkflowSettings settings;
    private final CallRegistry calls;
    private final FirstListLimiter firstLists;
    private final long fencingToken;
    private final long nextLifeToken;
    private final WorkerSession session;
    private final IncarnationState incarnation;
    private final RunListPoller lists;
    private final WorkerLease lease;
    private final ResponseTracker answers;
    private boolean rejected;

    RunListCalls(
            WorkflowSettings settings,
            CallRegistry calls,
            FirstListLimiter firstLists,
            long fencingToken,
            long nextLifeToken,
            WorkerSession session,
            IncarnationState incarnation,
            RunListPoller lists,
            WorkerLease lease,
            ResponseTracker answers) {
        this.settings = settings;
        this.calls = calls;
        this.firstLists = firstLists;
        this.fencingToken = fencingToken;
        this.nextLifeToken = nextLifeToken;
        this.session = session;
        this.incarnation = incarnation;
        this.lists = lists;
        this.lease = lease;
        this.answers = answers;
    }

    /** Handles the rejection of a list call. */
    void onRejected() {
        rejected = true;
    }

    /** Handles a list. */
    void onListed() {
        rejected = false;
    }

    /** Returns whether the worker answers calls with lists. */
    boolean isReporting() {
        return answers.isResponsive() && !rejected;
    }

    /** Asks for a list if it may have changed, or if the worker's clock was read long ago. */
    void sendIfDue(long nowMilliseconds, LeaderOutput output) {
        boolean due =
                lists.isDue(nowMilliseconds)
                        || (isReadingDue(nowMilliseconds) && lists.mayAsk(nowMilliseconds));
        if (due && (lists.hasList() || firstLists.mayAsk(nowMilliseconds))) {
            send(nowMilliseconds, output);
        }
    }

    private boolean isReadingDue(long nowMilliseconds) {
        return lease.isReadingOld(nowMilliseconds)
                && session.silenceMilliseconds(nowMilliseconds)
                        < settings.reportTimeoutMilliseconds();
    }

    /**
     * Lists the runs of the next life that answers in place of this one. The call carries the token
     * of that life, so that late copies of earlier calls take no effect there.
     */
    void fenceNextLife(long nowMilliseconds, LeaderOutput output) {
        calls.send(
                nowMilliseconds,
                session,
                new ListRuns(
                        calls.nextId(),
                        session.worker(),
                        nextLifeToken,
                        0,
                        OptionalLong.empty(),
                        0),
                output);
    }

    private void send(long nowMilliseconds, LeaderOutput output) {
        boolean longPoll =
                lists.mayLongPoll() && isReporting() && lease.isReadingRecent(nowMilliseconds);
        // Don't renew the lease of a worker that leaves calls unanswered or rejects list calls, so
        // that the lease can expire, nor that of one that is about to exit unseen, nor that of one
        // whose next life may get the call.
        OptionalLong until =
                isReporting() && incarnation.acceptsStarts() && !session.worker().draining()
                        ? lease.grant(nowMilliseconds)
                        : OptionalLong.empty();
        long wait = longPoll ? settings.listWaitMilliseconds() : 0;
        long acknowledged = incarnation.isConfirmed(nowMilliseconds) ? lists.acknowledged() : 0;
        lists.onSent();
        if (!lists.hasList()) {
            firstLists.onSent(session, nowMilliseconds);
        }
        calls.send(
                nowMilliseconds,
                session,
                new ListRuns(
                        calls.nextId(), session.worker(), fencingToken, acknowledged, until, wait),
                output);
    }
}
