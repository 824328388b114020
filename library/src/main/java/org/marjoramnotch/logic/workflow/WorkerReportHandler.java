package org.marjoramnotch.logic.workflow;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.command.DismissWorker;
import org.marjoramnotch.model.command.EnrollWorker;
import org.marjoramnotch.model.command.WorkflowCommand;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.message.Done;
import org.marjoramnotch.model.message.ReleaseWorker;
import org.marjoramnotch.model.message.ReportWorker;

/** Takes workers in, follows their condition and forgets those that are gone. */
final class WorkerReportHandler {
    /** Silence after which an idle worker is forgotten; ten missed reports. */
    private static final long FORGET_MILLISECONDS = 15_000;

    private final WorkflowLedger ledger;
    private final WorkerSessions sessions;
    private final PendingReplies<FleetWorker> enrolling = new PendingReplies<>();
    private final PendingReplies<WorkerIncarnation> dismissing = new PendingReplies<>();
    private final Set<WorkerIncarnation> forgetting = new HashSet<>();

    /** Highest numbers of the reports that are being taken in; no session knows them yet. */
    private final Map<WorkerIncarnation, Long> enrollingSequences = new HashMap<>();

    WorkerReportHandler(WorkflowLedger ledger, WorkerSessions sessions) {
        this.ledger = ledger;
        this.sessions = sessions;
    }

    void report(
            long nowMilliseconds, RequestHandle handle, ReportWorker report, LeaderOutput output) {
        FleetWorker worker = report.worker();
        if (enrolling.isPending(worker)) {
            enrolling.add(worker, handle);
            return;
        }
        Optional<FleetWorker> known = ledger.worker(worker.id()).map(WorkerEntry::worker);
        long start = worker.incarnation().startedEpochMilliseconds();
        long knownStart =
                known.map(before -> before.incarnation().startedEpochMilliseconds()).orElse(-1L);
        boolean stale =
                start < knownStart || (start == knownStart && !isNewest(nowMilliseconds, report));
        if (stale || known.equals(Optional.of(worker))) {
            output.reply(handle, new Done());
            return;
        }
        if (start > knownStart && known.isPresent() && isAwaitingOrders(worker.id())) {
            // The report comes again; by then the orders to the earlier life have their outcome.
            throw new MarjoramnotchException(
                    ErrorCode.OVERLOADED,
                    "Orders to the worker's earlier life are under way; report again.");
        }
        if (enrolling.add(worker, handle)) {
            enrollingSequences.merge(worker.incarnation(), report.sequence(), Math::max);
            output.propose(new EnrollWorker(worker));
        }
    }

    void release(RequestHandle handle, ReleaseWorker release, LeaderOutput output) {
        Optional<WorkerIncarnation> known =
                ledger.worker(release.worker())
                        .map(entry -> entry.worker().incarnation())
                        .filter(incarnation -> isMeant(release, incarnation));
        if (known.isEmpty()) {
            output.reply(handle, new Done());
        } else if (dismissing.add(known.get(), handle)) {
            output.propose(new DismissWorker(known.get()));
        }
    }

    void onApplied(long nowMilliseconds, WorkflowCommand command, LeaderOutput output) {
        if (command instanceof EnrollWorker enroll) {
            FleetWorker worker = enroll.worker();
            sessions.onEnrolled(nowMilliseconds, worker);
            Long sequence = enrollingSequences.remove(worker.incarnation());
            if (sequence != null) {
                sessions.of(worker.incarnation())
                        .ifPresent(session -> session.onReport(sequence, nowMilliseconds));
            }
            output.logDecision(
                    DecisionLogEntry.of(
                            "worker_enrolled",
                            "worker",
                            worker.id(),
                            "started",
                            worker.incarnation().startedEpochMilliseconds(),
                            "pool",
                            worker.pool(),
                            "draining",
                            worker.draining()));
            enrolling.answer(worker, new Done(), output);
        } else if (command instanceof DismissWorker dismiss) {
            sessions.onDismissed(nowMilliseconds, dismiss.worker());
            forgetting.remove(dismiss.worker());
            output.logDecision(
                    DecisionLogEntry.of("worker_dismissed", "worker", dismiss.worker().worker()));
            dismissing.answer(dismiss.worker(), new Done(), output);
        }
    }

    /** Forgets workers whose life has ended, and idle ones that were silent for long. */
    void tick(long nowMilliseconds, LeaderOutput output) {
        for (WorkerSession session : sessions.all()) {
            WorkerIncarnation incarnation = session.worker().incarnation();
            boolean ended = session.isReplaced() && !session.hasOutstandingOrders();
            boolean silent =
                    session.silenceMilliseconds(nowMilliseconds) >= FORGET_MILLISECONDS
                            && ledger.worker(incarnation)
                                    .map(entry -> entry.runs().isEmpty())
                                    .orElse(false);
            if ((ended || silent) && forgetting.add(incarnation)) {
                output.propose(new DismissWorker(incarnation));
            }
        }
    }

    private boolean isNewest(long nowMilliseconds, ReportWorker report) {
        WorkerIncarnation incarnation = report.worker().incarnation();
        if (report.sequence() <= enrollingSequences.getOrDefault(incarnation, Long.MIN_VALUE)) {
            return false;
        }
        return sessions.of(incarnation)
                .map(session -> session.onReport(report.sequence(), nowMilliseconds))
                .orElse(true);
    }

    private boolean isAwaitingOrders(WorkerId worker) {
        return sessions.of(worker).map(WorkerSession::hasOutstandingOrders).orElse(false);
    }

    private static boolean isMeant(ReleaseWorker release, WorkerIncarnation incarnation) {
        return release.startedEpochMilliseconds().isEmpty()
                || release.startedEpochMilliseconds().getAsLong()
                        == incarnation.startedEpochMilliseconds();
    }
}
