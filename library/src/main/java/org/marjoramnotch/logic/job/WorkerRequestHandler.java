package org.marjoramnotch.logic.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.command.CommandResult;
import org.marjoramnotch.model.command.EndTask;
import org.marjoramnotch.model.command.ExpireWorker;
import org.marjoramnotch.model.command.RegisterWorker;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.Refusal;
import org.marjoramnotch.model.identifier.TaskAttemptId;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.job.TaskEnd;
import org.marjoramnotch.model.job.TaskReport;
import org.marjoramnotch.model.job.WorkerDescription;
import org.marjoramnotch.model.job.WorkerOrder;
import org.marjoramnotch.model.message.AnnounceWorker;
import org.marjoramnotch.model.message.RenewWorker;
import org.marjoramnotch.model.message.WorkerRenewed;

/**
 * Answers the requests of workers and expires their leases.
 *
 * <p>A worker counts its lease from the time at which it sent a renewal that was answered. The
 * leader counts it from the time at which it sent the answer, which is later, and adds the clock
 * drift and a margin. Once the leader has proposed the expiry of an epoch, it grants no more
 * renewals of that epoch.
 *
 * <p>An announcement may be a delayed copy of one that was answered long ago. While the current
 * epoch has runs, an announcement therefore waits until the lease of that epoch has expired, and is
 * refused if the epoch is renewed before.
 */
final class WorkerRequestHandler {
    private final JobSettings settings;
    private final JobLedger ledger;
    private final WorkerPool pool;
    private final DutyContext context;
    private final Map<WorkerId, List<RequestHandle>> registering = new HashMap<>();
    private final Set<WorkerSession> woken = new LinkedHashSet<>();
    private final List<WorkerSession> removedSessions = new ArrayList<>();

    WorkerRequestHandler(
            JobSettings settings, JobLedger ledger, WorkerPool pool, DutyContext context) {
        this.settings = settings;
        this.ledger = ledger;
        this.pool = pool;
        this.context = context;
    }

    /** Starts the lease timer of a worker that may have been answered until now. */
    void watch(WorkerSession session) {
        context.schedule(leaseEnd(session), () -> checkLease(session));
    }

    void announce(RequestHandle handle, AnnounceWorker request) {
        WorkerDescription description = request.description();
        List<RequestHandle> inFlight = registering.get(description.worker());
        if (inFlight != null) {
            inFlight.add(handle);
            return;
        }
        Optional<WorkerSession> session = pool.find(description.worker());
        boolean mayRun =
                session.filter(known -> !known.entry.runs().isEmpty() || known.hasPending())
                        .isPresent();
        if (mayRun || session.filter(known -> known.ending).isPresent()) {
            session.get().announcements.add(handle);
            session.get().announcedDescription = description;
            pool.onWorkerChanged(session.get());
            return;
        }
        register(description, List.of(handle));
    }

    void renew(RequestHandle handle, RenewWorker request) {
        WorkerSession session = pool.find(request.worker()).orElse(null);
        Refusal refusal = refusal(session, request);
        if (session == null || refusal != null) {
            context.refuse(handle, refusal);
            return;
        }
        refuseAnnouncements(session);
        session.confirmed = true;
        session.reported = new LinkedHashSet<>(request.running());
        updateSeenRuns(session);
        pool.onWorkerChanged(session);
        UsageEnforcer.check(session, ledger, request.usage());
        request.ended().forEach(report -> proposeEnd(session, report));
        session.heldRenewals.add(handle);
        session.answerPromptly |= !request.ended().isEmpty();
        session.holdEndMilliseconds = holdEnd(session, request.waitMilliseconds());
        answerIfDue(session);
        if (session.heldRenewals.contains(handle)) {
            watchHold(session, handle);
        }
    }

    /** Marks a worker whose orders may have changed, so that its held renewal is answered. */
    void wake(WorkerSession session) {
        woken.add(session);
    }

    void answerWoken() {
        if (woken.isEmpty()) {
            return;
        }
        List<WorkerSession> sessions = new ArrayList<>(woken);
        woken.clear();
        sessions.forEach(session -> answerIfDue(session));
    }

    void onApplied(RegisterWorker command, CommandResult result) {
        WorkerId id = command.description().worker();
        List<RequestHandle> handles = registering.remove(id);
        WorkerSession session = pool.find(id).orElseThrow();
        session.lastAnswerMilliseconds = context.now();
        watch(session);
        if (handles != null && result instanceof CommandResult.WorkerAccepted accepted) {
            handles.forEach(handle -> context.reply(handle, renewed(accepted.epoch(), List.of())));
        }
    }

    /** Records that a worker was removed from the ledger. */
    void onWorkerRemoved(WorkerSession session) {
        removedSessions.add(session);
    }

    /**
     * Completes the handling of an applied command: ends the sessions of removed workers and
     * answers woken workers.
     */
    void afterApplied() {
        List<WorkerSession> sessions = List.copyOf(removedSessions);
        removedSessions.clear();
        sessions.forEach(this::end);
        answerWoken();
    }

    /**
     * Refuses the held renewals of a removed worker, and registers it again if it was announced in
     * the meantime.
     */
    private void end(WorkerSession session) {
        session.ending = true;
        session.removeHeldRenewals().forEach(handle -> context.refuse(handle, staleEpoch()));
        if (session.announcedDescription != null && !session.announcements.isEmpty()) {
            register(session.announcedDescription, List.copyOf(session.announcements));
        }
    }

    private void register(WorkerDescription description, List<RequestHandle> handles) {
        registering.put(description.worker(), new ArrayList<>(handles));
        pool.find(description.worker())
                .ifPresent(
                        session -> {
                            session.ending = true;
                            pool.onWorkerChanged(session);
                        });
        context.propose(new RegisterWorker(description));
    }

    private @Nullable Refusal refusal(@Nullable WorkerSession session, RenewWorker request) {
        if (session == null) {
            return Refusal.notRun(
                    ErrorCode.UNKNOWN_WORKER,
                    "No worker with this name is registered; stop all runs and announce it.");
        }
        boolean current = session.entry.epoch == request.epoch() && !session.ending;
        return current ? null : staleEpoch();
    }

    private static Refusal staleEpoch() {
        return Refusal.notRun(
                ErrorCode.STALE_EPOCH,
                "The worker's epoch has ended; stop all runs and announce the worker again.");
    }

    private void refuseAnnouncements(WorkerSession session) {
        Refusal refusal =
                Refusal.notRun(
                        ErrorCode.STALE_EPOCH,
                        "The worker has renewed its epoch; announce it again if it runs nothing.");
        session.announcements.forEach(handle -> context.refuse(handle, refusal));
        session.announcements.clear();
        session.announcedDescription = null;
    }

    private void updateSeenRuns(WorkerSession session) {
        for (TaskEntry task : session.entry.runs()) {
            TaskAttemptId attempt = task.attempt();
            if (session.reported.contains(attempt)) {
                session.seenRunning.add(attempt);
                session.missingSinceMilliseconds.remove(attempt);
            } else if (session.seenRunning.contains(attempt)) {
                session.missingSinceMilliseconds.putIfAbsent(attempt, context.now());
            }
        }
    }

    /**
     * Proposes the reported end of a run. A run that was seen running cannot have been refused, so
     * it is ended as failed if the worker reports that it never started.
     */
    private void proposeEnd(WorkerSession session, TaskReport report) {
        TaskAttemptId attempt = report.attempt();
        boolean current =
                ledger.task(attempt.task())
                        .filter(task -> task.isCurrentRun(attempt.number()))
                        .filter(task -> task.worker == session.entry)
                        .isPresent();
        if (!current || !session.endsProposed.add(attempt)) {
            return;
        }
        boolean contradicts =
                report.end() == TaskEnd.NOT_STARTED && session.seenRunning.contains(attempt);
        context.propose(new EndTask(attempt, contradicts ? TaskEnd.FAILED : report.end()));
    }

    private void answerIfDue(WorkerSession session) {
        if (session.heldRenewals.isEmpty() || session.ending || !session.endsProposed.isEmpty()) {
            return;
        }
        List<WorkerOrder> orders = WorkerOrders.derive(session, context.now());
        boolean due =
                session.answerPromptly
                        || context.now() >= session.holdEndMilliseconds
                        || WorkerOrders.areDue(session, orders, context.now());
        if (due) {
            answer(session);
        }
    }

    private void answer(WorkerSession session) {
        List<WorkerOrder> orders = WorkerOrders.derive(session, context.now());
        if (!orders.isEmpty()) {
            session.sentOrders = Set.copyOf(orders);
            session.ordersSentMilliseconds = context.now();
        }
        session.lastAnswerMilliseconds = context.now();
        WorkerRenewed answer = renewed(session.entry.epoch, orders);
        session.removeHeldRenewals().forEach(handle -> context.reply(handle, answer));
    }

    private WorkerRenewed renewed(long epoch, List<WorkerOrder> orders) {
        return new WorkerRenewed(epoch, settings.workerLeaseMilliseconds(), orders);
    }

    /**
     * Returns the time until which a renewal may be held, so that the lease of the previous renewal
     * does not expire in the meantime.
     */
    private long holdEnd(WorkerSession session, long waitMilliseconds) {
        long maximumHold = settings.maximumHoldMilliseconds();
        long wait = Math.max(0, Math.min(waitMilliseconds, maximumHold));
        return Math.min(context.now() + wait, session.lastAnswerMilliseconds + maximumHold);
    }

    private void watchHold(WorkerSession session, RequestHandle handle) {
        long repeat = context.now() + WorkerOrders.REPEAT_MILLISECONDS;
        long check = Math.min(session.holdEndMilliseconds, repeat);
        context.schedule(
                Math.max(check, context.now() + 1),
                () -> {
                    if (session.heldRenewals.contains(handle)) {
                        answerIfDue(session);
                        if (session.heldRenewals.contains(handle)) {
                            watchHold(session, handle);
                        }
                    }
                });
    }

    private void checkLease(WorkerSession session) {
        if (session.ending || pool.find(session.id()).orElse(null) != session) {
            return;
        }
        if (context.now() < leaseEnd(session)) {
            watch(session);
            return;
        }
        session.ending = true;
        pool.onWorkerChanged(session);
        context.propose(new ExpireWorker(session.id(), session.entry.epoch));
    }

    private long leaseEnd(WorkerSession session) {
        return session.lastAnswerMilliseconds + settings.expiryMilliseconds();
    }
}
