package org.marjoramnotch.logic.workflow;

import org.marjoramnotch.logic.evacuation.ColdZones;
import org.marjoramnotch.logic.evacuation.StandingTaskMoves;
import org.marjoramnotch.logic.evacuation.ZoneCheck;
import org.marjoramnotch.logic.leader.LeaderDuty;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.logic.pacing.RoundPacing;
import org.marjoramnotch.model.command.CancelWorkflow;
import org.marjoramnotch.model.command.Command;
import org.marjoramnotch.model.command.CommandResult;
import org.marjoramnotch.model.command.DismissWorker;
import org.marjoramnotch.model.command.EndRuns;
import org.marjoramnotch.model.command.EnrollWorker;
import org.marjoramnotch.model.command.FailWorkflow;
import org.marjoramnotch.model.command.RecordHeldLimit;
import org.marjoramnotch.model.command.ReplaceConfiguration;
import org.marjoramnotch.model.command.StartRuns;
import org.marjoramnotch.model.command.SubmitWorkflow;
import org.marjoramnotch.model.command.WorkflowCommand;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.message.ApplyConfiguration;
import org.marjoramnotch.model.message.BeginEvacuationRequest;
import org.marjoramnotch.model.message.CancelWorkflowRequest;
import org.marjoramnotch.model.message.CellRequest;
import org.marjoramnotch.model.message.FinishEvacuationRequest;
import org.marjoramnotch.model.message.ReadConfiguration;
import org.marjoramnotch.model.message.ReadWorkflow;
import org.marjoramnotch.model.message.Refused;
import org.marjoramnotch.model.message.ReleaseWorker;
import org.marjoramnotch.model.message.ReportHeldLimit;
import org.marjoramnotch.model.message.ReportWorker;
import org.marjoramnotch.model.message.SubmitWorkflowRequest;
import org.marjoramnotch.model.message.TakeAdviceQuestion;
import org.marjoramnotch.model.order.CallOutcome;
import org.marjoramnotch.model.time.Clock;

/** Makes the leader's decisions about workflows in one term of leadership. */
public final class WorkflowDuty implements LeaderDuty {
    /**
     * How many fencing tokens the duty uses, from the one that it is given: one for each life of a
     * worker. Lives after the last share its token.
     */
    public static final long FENCING_TOKENS = 8;

    private static final long SLOW_TICK_MILLISECONDS = 1_000;

    /** Interval of rounds that detect changes without an event, as the end of a quarantine. */
    private static final long SCHEDULE_INTERVAL_MILLISECONDS = 150;

    private final WorkflowLedger ledger;
    private final WorkerSessions sessions;
    private final ConfigurationRequestHandler configuration;
    private final WorkflowRequestHandler workflows;
    private final WorkerReportHandler workers;
    private final WorkerReleaseHandler releases;
    private final EvacuationRequestHandler evacuations;
    private final AdviceBroker advice;
    private final RunScheduler scheduler;
    private final FeasibilityCheck feasibilityCheck;
    private final SubmissionRoom room;
    private final AppliedRunHandler runs;
    private final RoundPacing roundPacing = new RoundPacing();
    private final Preemption preemption;
    private boolean scheduleDue = true;
    private long nextSlowTickAt;
    private long nextScheduleAt;

    /** Creates a duty without metrics of runs. */
    public WorkflowDuty(
            WorkflowSettings settings,
            WorkflowLedger ledger,
            Clock wallClock,
            long fencingToken,
            long nowMilliseconds,
            ConfigurationMetricsListener metricsListener) {
        this(
                settings,
                ledger,
                wallClock,
                fencingToken,
                nowMilliseconds,
                metricsListener,
                RunMetricsListener.NONE);
    }

    /**
     * Creates the duty.
     *
     * @param settings leases, intervals and retention times
     * @param ledger the replicated state
     * @param wallClock the Unix time in milliseconds, for submission and due times
     * @param fencingToken higher than all tokens that earlier duties of the cell may have used
     * @param nowMilliseconds when the duty starts, in the leader's time
     * @param metricsListener receives the refusals that the configuration causes
     * @param runMetricsListener receives the ends of runs
     */
    public WorkflowDuty(
            WorkflowSettings settings,
            WorkflowLedger ledger,
            Clock wallClock,
            long fencingToken,
            long nowMilliseconds,
            ConfigurationMetricsListener metricsListener,
            RunMetricsListener runMetricsListener) {
        this.ledger = ledger;
        RunLog log = new RunLog(ledger, fencingToken, runMetricsListener);
        this.sessions = new WorkerSessions(settings, ledger, fencingToken, log, nowMilliseconds);
        this.advice = new AdviceBroker(fencingToken);
        this.configuration = new ConfigurationRequestHandler(ledger, wallClock, metricsListener);
        Feasibility feasibility = new Feasibility(ledger);
        this.feasibilityCheck =
                new FeasibilityCheck(
                        ledger, feasibility, wallClock, settings.feasibilityDelayMilliseconds());
        LatencyObjectives objectives =
                new LatencyObjectives(nowMilliseconds - wallClock.nowMilliseconds());
        RemainingWork work =
                new RemainingWork(ledger, objectives, feasibility, feasibilityCheck, settings);
        LoadMeter load = new LoadMeter(ledger, advice, feasibilityCheck, work);
        this.room = new SubmissionRoom(settings, ledger, nowMilliseconds);
        this.workflows =
                new WorkflowRequestHandler(
                        ledger, configuration, load, feasibilityCheck, room, wallClock);
        this.releases = new WorkerReleaseHandler(settings, ledger, sessions);
        this.workers = new WorkerReportHandler(ledger, sessions, releases);
        ColdZones coldZones =
                new ColdZones(ledger.evacuations(), nowMilliseconds, wallClock.nowMilliseconds());
        this.evacuations =
                new EvacuationRequestHandler(
                        ledger,
                        coldZones,
                        new ZoneCheck(settings.availabilityZones(), ledger.evacuations()),
                        wallClock);
        SpeedEstimator speeds = new SpeedEstimator(ledger::kindOf);
        this.preemption =
                new Preemption(settings, ledger, sessions, advice, objectives, nowMilliseconds);
        this.scheduler =
                new RunScheduler(
                        ledger,
                        sessions,
                        advice,
                        objectives,
                        speeds,
                        load,
                        feasibility,
                        coldZones,
                        new StandingTaskMoves(nowMilliseconds),
                        preemption,
                        runMetricsListener);
        this.runs =
                new AppliedRunHandler(
                        ledger,
                        sessions,
                        advice,
                        speeds,
                        objectives,
                        load,
                        scheduler,
                        preemption.stopper(),
                        log);
    }

    @Override
    public void onRequest(
            long nowMilliseconds, RequestHandle handle, CellRequest request, LeaderOutput output) {
        try {
            dispatch(nowMilliseconds, handle, request, output);
        } catch (MarjoramnotchException refusal) {
            if (refusal.code() == ErrorCode.INVARIANT_VIOLATED) {
                throw refusal;
            }
            configuration.log().logRefusal(request, refusal, output);
            output.reply(handle, new Refused(refusal.refusal()));
        }
    }

    @Override
    public void onApplied(
            long nowMilliseconds, Command command, CommandResult result, LeaderOutput output) {
        if (!(command instanceof WorkflowCommand applied)) {
            return;
        }
        preemption.onApplied(nowMilliseconds, applied, result);
        if (applied instanceof StartRuns start) {
            runs.onStarted(nowMilliseconds, start, output);
        } else if (applied instanceof EndRuns end) {
            runs.onEnded(nowMilliseconds, end, result, output);
        } else if (applied instanceof SubmitWorkflow submit) {
            feasibilityCheck.onAccepted(nowMilliseconds, submit.workflow().id());
        } else if (applied instanceof CancelWorkflow cancel) {
            runs.stopAll(nowMilliseconds, cancel.workflow(), output);
        } else if (applied instanceof FailWorkflow fail) {
            runs.stopAll(nowMilliseconds, fail.workflow(), output);
        } else if (applied instanceof ReplaceConfiguration replace) {
            configuration.onApplied(replace, output);
        } else if (applied instanceof DismissWorker dismiss) {
            runs.onDismissed(dismiss, result, output);
        } else if (applied instanceof EnrollWorker enroll) {
            runs.onEnrolled(enroll, result, output);
            advice.onEnrolled(enroll.worker().incarnation());
        } else if (applied instanceof RecordHeldLimit record) {
            room.limits().onApplied(record, output);
        }
        workers.onApplied(nowMilliseconds, applied, output);
        workflows.onApplied(applied, result, output);
        evacuations.onApplied(nowMilliseconds, applied, output);
        scheduleDue = true;
    }

    @Override
    public void onCallOutcome(long nowMilliseconds, CallOutcome outcome, LeaderOutput output) {
        sessions.onOutcome(nowMilliseconds, outcome, output);
    }

    @Override
    public void onTick(long nowMilliseconds, LeaderOutput output) {
        sessions.tick(nowMilliseconds, output);
        advice.tick(nowMilliseconds, output);
        workers.tick(nowMilliseconds, output);
        if (nowMilliseconds >= nextSlowTickAt) {
            nextSlowTickAt = nowMilliseconds + SLOW_TICK_MILLISECONDS;
            feasibilityCheck.check(nowMilliseconds, output);
            room.tick(nowMilliseconds, output);
            scheduler.logWaiting(nowMilliseconds, output);
            scheduler.moveStandingTasks(nowMilliseconds, output);
        }
        if (nowMilliseconds >= nextScheduleAt) {
            scheduleDue = true;
        }
    }

    @Override
    public void onBatchEnd(long nowMilliseconds, LeaderOutput output) {
        if (scheduleDue && roundPacing.mayRun(nowMilliseconds)) {
            scheduleDue = false;
            nextScheduleAt = nowMilliseconds + SCHEDULE_INTERVAL_MILLISECONDS;
            scheduler.schedule(nowMilliseconds, output);
            roundPacing.onRound(nowMilliseconds, ledger.workers().size() + ledger.active().size());
        }
    }

    /** Returns the current metrics; iterates over all workers. */
    public WorkflowMetrics metrics(long nowMilliseconds) {
        return new WorkflowMetrics(
                sessions.all().size(),
                sessions.countUsable(nowMilliseconds),
                advice.waitingCount(),
                ledger.held().totalBytes(),
                room.limitBytes());
    }

    /** Returns how many workers the scheduler has examined, counted once for each step. */
    long examinedWorkers() {
        return scheduler.examinedWorkers();
    }

    private void dispatch(
            long nowMilliseconds, RequestHandle handle, CellRequest request, LeaderOutput output) {
        if (request instanceof SubmitWorkflowRequest submit) {
            workflows.submit(nowMilliseconds, handle, submit, output);
        } else if (request instanceof ReadWorkflow read) {
            workflows.read(handle, read, output);
        } else if (request instanceof CancelWorkflowRequest cancel) {
            workflows.cancel(handle, cancel, output);
        } else if (request instanceof ApplyConfiguration apply) {
            configuration.apply(handle, apply, output);
        } else if (request instanceof ReadConfiguration) {
            configuration.read(handle, output);
        } else if (request instanceof ReportWorker report) {
            workers.report(nowMilliseconds, handle, report, output);
        } else if (request instanceof ReleaseWorker release) {
            releases.release(nowMilliseconds, handle, release, output);
        } else if (request instanceof TakeAdviceQuestion poll) {
            advice.onPoll(nowMilliseconds, handle, poll, output);
            scheduleDue = true;
        } else if (request instanceof BeginEvacuationRequest begin) {
            evacuations.begin(handle, begin, output);
        } else if (request instanceof FinishEvacuationRequest finish) {
            evacuations.finish(handle, finish, output);
        } else if (request instanceof ReportHeldLimit report) {
            room.limits().report(nowMilliseconds, handle, report, output);
        } else {
            throw new MarjoramnotchException(
                    ErrorCode.INVALID_REQUEST,
                    "The request is not a workflow request; report this routing error.");
        }
    }
}
