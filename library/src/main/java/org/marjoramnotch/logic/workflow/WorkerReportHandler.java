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

/**
 * Handles reports of workers: enrolls them, updates their state and dismisses those that are gone.
 */
final class WorkerReportHandler {
    /** Time without contact after which an idle worker is dismissed; ten missed reports. */
    private static final long DISMISS_IDLE_MILLISECONDS = 15_000;

    /**
     * Time after which a release is answered even if runs of the worker are not over; a worker
     * waits one second for the answer, and ends some seconds later without one.
     */
    private static final long RELEASE_ANSWER_MILLISECONDS = 750;

    /** Time for which late reports of a released worker are ignored; outlasts its end by far. */
    private static final long IGNORE_RELEASED_MILLISECONDS = 60_000;

    private final WorkflowLedger ledger;
    private final WorkerSessions sessions;
    private final PendingReplies<FleetWorker> pendingEnrollments = new PendingReplies<>();
    private final PendingReplies<WorkerIncarnation> pendingReleases = new PendingReplies<>();
    private final Map<WorkerIncarnation, Long> releasedAt = new HashMap<>();
    private final Set<WorkerIncarnation> proposedDismissals = new HashSet<>();
    private final Set<WorkerIncarnation> proposedLeaseRecords = new HashSet<>();

    /**
     * Highest sequence numbers of reports whose enrollment is not applied yet; no session has them.
     */
    private final Map<WorkerIncarnation, Long> pendingSequences = new HashMap<>();

    WorkerReportHandler(WorkflowLedger ledger, WorkerSessions sessions) {
        this.ledger = ledger;
        this.sessions = sessions;
    }

    void report(
            long nowMilliseconds, RequestHandle handle, ReportWorker report, LeaderOutput output) {
        FleetWorker worker = report.worker();
        if (releasedAt.containsKey(worker.incarnation())) {
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

    /**
     * Releases a worker. The request does not show that its runs are over, since the worker
     * continues them until it gets the answer, which may be lost.
     */
    void release(
            long nowMilliseconds,
            RequestHandle handle,
            ReleaseWorker release,
            LeaderOutput output) {
        WorkerSession session =
                sessions.of(release.worker())
                        .filter(known -> refersTo(release, known.worker().incarnation()))
                        .orElse(null);
        if (session == null) {
            output.reply(handle, new Done());
            return;
        }
        WorkerIncarnation incarnation = session.worker().incarnation();
        pendingReleases.add(incarnation, handle);
        if (!session.isReleased()) {
            releasedAt.put(incarnation, nowMilliseconds);
            session.release(nowMilliseconds, output);
            output.logDecision(
                    DecisionLogEntry.of(
                            "worker_released",
                            "worker",
                            incarnation.worker(),
                            "runs",
                            ledger.worker(incarnation)
                                    .map(known -> known.runs().size())
                                    .orElse(0)));
        }
        settle(nowMilliseconds, session, output);
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
            earlier.ifPresent(
                    incarnation -> pendingReleases.answer(incarnation, new Done(), output));
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
            pendingReleases.answer(dismiss.worker(), new Done(), output);
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
        releasedAt.values().removeIf(at -> nowMilliseconds - at >= IGNORE_RELEASED_MILLISECONDS);
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
        Long since = releasedAt.get(incarnation);
        if (since != null && nowMilliseconds - since >= RELEASE_ANSWER_MILLISECONDS) {
            pendingReleases.answer(incarnation, new Done(), output);
        }
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
                .map(session -> session.onReport(report.sequence(), nowMilliseconds))
                .orElse(true);
    }

    private boolean isAwaitingOrders(WorkerId worker) {
        return sessions.of(worker).map(WorkerSession::hasOrdersInFlight).orElse(false);
    }

    private static boolean refersTo(ReleaseWorker release, WorkerIncarnation incarnation) {
        return release.startedEpochMilliseconds().isEmpty()
                || release.startedEpochMilliseconds().getAsLong()
                        == incarnation.startedEpochMilliseconds();
    }
}
