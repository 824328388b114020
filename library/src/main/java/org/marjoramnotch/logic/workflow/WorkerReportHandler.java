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
import org.marjoramnotch.model.message.ReportWorker;

/**
 * Handles reports of workers: enrolls them, updates their state and dismisses those that are gone.
 */
final class WorkerReportHandler {
    /** Time without contact after which an idle worker is dismissed; ten missed reports. */
    private static final long DISMISS_IDLE_MILLISECONDS = 15_000;

    private final WorkflowLedger ledger;
    private final WorkerSessions sessions;
    private final PendingReplies<FleetWorker> pendingEnrollments = new PendingReplies<>();
    private final WorkerReleaseHandler releases;
    private final Set<WorkerIncarnation> proposedDismissals = new HashSet<>();
    private final Set<WorkerIncarnation> proposedLeaseRecords = new HashSet<>();

    /**
     * Highest sequence numbers of reports whose enrollment is not applied yet; no session has them.
     */
    private final Map<WorkerIncarnation, Long> pendingSequences = new HashMap<>();

    WorkerReportHandler(
            WorkflowLedger ledger, WorkerSessions sessions, WorkerReleaseHandler releases) {
        this.ledger = ledger;
        this.sessions = sessions;
        this.releases = releases;
    }

    void report(
            long nowMilliseconds, RequestHandle handle, ReportWorker report, LeaderOutput output) {
        FleetWorker worker = report.worker();
        if (releases.ignores(report, output)) {
            output.reply(handle, new Done());
            return;
        }
        if (pendingEnrollments.isPending(worker)) {
            pendingEnrollments.add(worker, handle);
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
            // The worker repeats the report; by then the orders to its earlier incarnation have
            // outcomes.
            throw new MarjoramnotchException(
                    ErrorCode.OVERLOADED,
                    "Orders to the worker's earlier incarnation are in flight; report again.");
        }
        if (pendingEnrollments.add(worker, handle)) {
            pendingSequences.merge(worker.incarnation(), report.sequence(), Math::max);
            Optional<WorkerSession> earlier =
                    start > knownStart ? sessions.of(worker.id()) : Optional.empty();
            earlier.ifPresent(WorkerSession::expectSuccessor);
            output.propose(new EnrollWorker(worker, earlier.map(WorkerSession::nextLifeEvidence)));
        }
    }

    void onApplied(long nowMilliseconds, WorkflowCommand command, LeaderOutput output) {
        if (command instanceof EnrollWorker enroll) {
            FleetWorker worker = enroll.worker();
            proposedLeaseRecords.remove(worker.incarnation());
            Optional<WorkerIncarnation> earlier =
                    sessions.of(worker.id())
                            .map(session -> session.worker().incarnation())
                            .filter(incarnation -> !incarnation.equals(worker.incarnation()));
            sessions.onEnrolled(nowMilliseconds, worker);
            releases.onEnrolled(nowMilliseconds, worker);
            earlier.ifPresent(incarnation -> releases.onLifeOver(incarnation, output));
            Long sequence = pendingSequences.remove(worker.incarnation());
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
                            worker.draining(),
                            "inherited_lease",
                            mayHoldInheritedLease(worker.incarnation()),
                            "next_life",
                            enroll.nextLifeEvidence().map(Object::toString).orElse("none")));
            pendingEnrollments.answer(worker, new Done(), output);
        } else if (command instanceof DismissWorker dismiss) {
            sessions.onDismissed(nowMilliseconds, dismiss.worker());
            proposedDismissals.remove(dismiss.worker());
            output.logDecision(
                    DecisionLogEntry.of("worker_dismissed", "worker", dismiss.worker().worker()));
            releases.onLifeOver(dismiss.worker(), output);
        }
    }

    /**
     * Dismisses workers whose incarnation has ended or was released and runs nothing any more, and
     * idle workers without contact for a long time.
     */
    void tick(long nowMilliseconds, LeaderOutput output) {
        for (WorkerSession session : sessions.all()) {
            settle(nowMilliseconds, session, output);
            recordInheritedLease(nowMilliseconds, session, output);
        }
        releases.tick(nowMilliseconds);
    }

    private void settle(long nowMilliseconds, WorkerSession session, LeaderOutput output) {
        WorkerIncarnation incarnation = session.worker().incarnation();
        boolean ended = session.isReplaced() && !session.hasOrdersInFlight();
        boolean silent =
                session.silenceMilliseconds(nowMilliseconds) >= DISMISS_IDLE_MILLISECONDS
                        && ledger.worker(incarnation)
                                .map(entry -> entry.runs().isEmpty())
                                .orElse(false);
        boolean dismissible = ended || silent || session.isVacated(nowMilliseconds);
        if (dismissible && proposedDismissals.add(incarnation)) {
            output.propose(new DismissWorker(incarnation, Optional.of(session.nextLifeEvidence())));
        }
        releases.settle(nowMilliseconds, incarnation, output);
    }

    /** Records what is newly known of an inherited lease, unless another update is under way. */
    private void recordInheritedLease(
            long nowMilliseconds, WorkerSession session, LeaderOutput output) {
        WorkerIncarnation incarnation = session.worker().incarnation();
        if (!mayHoldInheritedLease(incarnation)
                || proposedLeaseRecords.contains(incarnation)
                || pendingEnrollments.isAnyPending(
                        other -> other.id().equals(incarnation.worker()))) {
            return;
        }
        session.recordInheritedLease(nowMilliseconds)
                .ifPresent(
                        record -> {
                            proposedLeaseRecords.add(incarnation);
                            output.propose(record);
                        });
    }

    private boolean mayHoldInheritedLease(WorkerIncarnation incarnation) {
        return ledger.worker(incarnation).map(WorkerEntry::mayHoldInheritedLease).orElse(false);
    }

    private boolean isNewest(long nowMilliseconds, ReportWorker report) {
        WorkerIncarnation incarnation = report.worker().incarnation();
        if (report.sequence() <= pendingSequences.getOrDefault(incarnation, Long.MIN_VALUE)) {
            return false;
        }
        return sessions.of(incarnation)
                .map(session -> isNewest(nowMilliseconds, session, report))
                .orElse(true);
    }

    /**
     * Returns whether a report is newer than all earlier ones. A new leader does not know the
     * number of the report by which a worker drains, so that the first report to it may be an older
     * one.
     */
    private static boolean isNewest(
            long nowMilliseconds, WorkerSession session, ReportWorker report) {
        boolean mayPrecedeDraining =
                session.reportSequence().isEmpty()
                        && session.worker().draining()
                        && !report.worker().draining();
        return session.onReport(report.sequence(), nowMilliseconds) && !mayPrecedeDraining;
    }

    private boolean isAwaitingOrders(WorkerId worker) {
        return sessions.of(worker).map(WorkerSession::hasOrdersInFlight).orElse(false);
    }
}
