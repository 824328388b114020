package org.marjoramnotch.logic.workflow;

import java.util.OptionalLong;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.logic.release.DrainingLives;
import org.marjoramnotch.logic.release.ReleaseEvidence;
import org.marjoramnotch.logic.release.ReleasedLives;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.message.Done;
import org.marjoramnotch.model.message.ReleaseWorker;
import org.marjoramnotch.model.message.ReportWorker;

/** Handles the announcements of workers that they end. */
final class WorkerReleaseHandler {
    /**
     * Time after which a release is answered even if runs of the worker are not over; a worker
     * waits one second for the answer, and ends some seconds later without one.
     */
    private static final long ANSWER_MILLISECONDS = 750;

    private final WorkflowLedger ledger;
    private final WorkerSessions sessions;
    private final DrainingLives draining;
    private final ReleasedLives released = new ReleasedLives();
    private final PendingReplies<WorkerIncarnation> pending = new PendingReplies<>();

    WorkerReleaseHandler(
            WorkflowSettings settings, WorkflowLedger ledger, WorkerSessions sessions) {
        this.ledger = ledger;
        this.sessions = sessions;
        this.draining = new DrainingLives(settings.drainMilliseconds());
    }

    /**
     * Releases a worker if the request is about its enrolled life. The request does not show that
     * its runs are over, since the worker continues them until it gets the answer, which may be
     * lost.
     */
    void release(
            long nowMilliseconds,
            RequestHandle handle,
            ReleaseWorker release,
            LeaderOutput output) {
        WorkerSession session = sessions.of(release.worker()).orElse(null);
        if (session == null) {
            output.reply(handle, new Done());
            return;
        }
        FleetWorker enrolled = session.worker();
        ReleaseEvidence evidence = draining.judge(nowMilliseconds, release, enrolled);
        if (!evidence.isOfEnrolledLife()) {
            logRelease(
                    "release_ignored",
                    nowMilliseconds,
                    handle,
                    release,
                    enrolled,
                    evidence,
                    output);
            refuse(evidence);
            output.reply(handle, new Done());
            return;
        }
        WorkerIncarnation life = enrolled.incarnation();
        pending.add(life, handle);
        if (!session.isReleased()) {
            released.add(nowMilliseconds, life, session.reportSequence());
            session.release(nowMilliseconds, output);
            logRelease(
                    "worker_released",
                    nowMilliseconds,
                    handle,
                    release,
                    enrolled,
                    evidence,
                    output);
        }
        settle(nowMilliseconds, life, output);
    }

    /** Refuses a release that its sender may repeat; one of an earlier life needs nothing more. */
    private static void refuse(ReleaseEvidence evidence) {
        if (evidence == ReleaseEvidence.NOT_DRAINING) {
            throw new MarjoramnotchException(
                    ErrorCode.STALE_EPOCH,
                    "The worker has not reported that it drains; report it, and send the release"
                            + " after the drain time.");
        }
        if (evidence == ReleaseEvidence.DRAINING_BRIEFLY) {
            throw new MarjoramnotchException(
                    ErrorCode.STALE_EPOCH,
                    "The worker reported only just now that it drains; send the release after the"
                            + " drain time.");
        }
    }

    private void logRelease(
            String event,
            long nowMilliseconds,
            RequestHandle handle,
            ReleaseWorker release,
            FleetWorker enrolled,
            ReleaseEvidence evidence,
            LeaderOutput output) {
        OptionalLong drainingFor =
                draining.drainingMilliseconds(nowMilliseconds, enrolled.incarnation());
        output.logDecision(
                DecisionLogEntry.of(
                        event,
                        "worker",
                        enrolled.id(),
                        "started",
                        enrolled.incarnation().startedEpochMilliseconds(),
                        "evidence",
                        evidence,
                        "draining_ms",
                        drainingFor.isPresent() ? drainingFor.getAsLong() : "unknown",
                        "received_by",
                        handle.link(),
                        "received",
                        release.receivedEpochMilliseconds().isPresent()
                                ? release.receivedEpochMilliseconds().getAsLong()
                                : "unknown",
                        "runs",
                        ledger.worker(enrolled.incarnation())
                                .map(known -> known.runs().size())
                                .orElse(0)));
    }

    /**
     * Returns whether a report must not enroll its worker, since that life was released. A report
     * that shows that the life goes on ends this once the life runs nothing any more.
     */
    boolean ignores(ReportWorker report, LeaderOutput output) {
        WorkerIncarnation life = report.worker().incarnation();
        if (!released.contains(life)) {
            return false;
        }
        if (!released.isRefutedBy(report) || ledger.worker(life).isPresent()) {
            return true;
        }
        released.remove(life);
        output.logDecision(
                DecisionLogEntry.of(
                        "release_refuted",
                        "worker",
                        life.worker(),
                        "started",
                        life.startedEpochMilliseconds(),
                        "sequence",
                        report.sequence()));
        return false;
    }

    void onEnrolled(long nowMilliseconds, FleetWorker worker) {
        draining.update(nowMilliseconds, worker);
    }

    /** Answers the releases of a life that is over. */
    void onLifeOver(WorkerIncarnation life, LeaderOutput output) {
        draining.forget(life);
        pending.answer(life, new Done(), output);
    }

    /** Answers a release that has waited for long. */
    void settle(long nowMilliseconds, WorkerIncarnation life, LeaderOutput output) {
        OptionalLong since = released.releasedAt(life);
        if (since.isPresent() && nowMilliseconds - since.getAsLong() >= ANSWER_MILLISECONDS) {
            pending.answer(life, new Done(), output);
        }
    }

    void tick(long nowMilliseconds) {
        released.tick(nowMilliseconds);
    }
}
