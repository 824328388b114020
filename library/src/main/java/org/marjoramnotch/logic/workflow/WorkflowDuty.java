package org.marjoramnotch.logic.workflow;

import java.util.Optional;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.logic.leader.LeaderDuty;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.command.CancelWorkflow;
import org.marjoramnotch.model.command.Command;
import org.marjoramnotch.model.command.CommandResult;
import org.marjoramnotch.model.command.EndRuns;
import org.marjoramnotch.model.command.EnrollWorker;
import org.marjoramnotch.model.command.FailWorkflow;
import org.marjoramnotch.model.command.ReplaceConfiguration;
import org.marjoramnotch.model.command.StartRuns;
import org.marjoramnotch.model.command.SubmitWorkflow;
import org.marjoramnotch.model.command.WorkflowCommand;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.message.ApplyConfiguration;
import org.marjoramnotch.model.message.CancelWorkflowRequest;
import org.marjoramnotch.model.message.CellRequest;
import org.marjoramnotch.model.message.ReadConfiguration;
import org.marjoramnotch.model.message.ReadWorkflow;
import org.marjoramnotch.model.message.Refused;
import org.marjoramnotch.model.message.ReleaseWorker;
import org.marjoramnotch.model.message.ReportWorker;
import org.marjoramnotch.model.message.SubmitWorkflowRequest;
import org.marjoramnotch.model.message.TakeAdviceQuestion;
import org.marjoramnotch.model.order.CallOutcome;
import org.marjoramnotch.model.time.Clock;
import org.marjoramnotch.model.workflow.RunEnd;
import org.marjoramnotch.model.workflow.RunOutcome;
import org.marjoramnotch.model.workflow.RunPlacement;
import org.marjoramnotch.model.workflow.StepId;

/** Makes the leader's decisions about workflows in one term of leadership. */
public final class WorkflowDuty implements LeaderDuty {
    /** Interval of checks that iterate over all workflows. */
    private static final long SLOW_TICK_MILLISECONDS = 1_000;

    /**
     * Interval of periodic scheduling rounds, which detect changes without an event, such as the
     * end of a quarantine.
     */
    private static final long SCHEDULE_INTERVAL_MILLISECONDS = 150;

    private final WorkflowLedger ledger;
    private final WorkerSessions sessions;
    private final ConfigurationRequestHandler configuration;
    private final WorkflowRequestHandler workflows;
    private final WorkerReportHandler workers;
    private final AdviceBroker advice;
    private final SpeedEstimator speeds = new SpeedEstimator();
    private final LatencyObjectives objectives;
    private final LoadMeter load;
    private final RunScheduler scheduler;
    private final FeasibilityCheck feasibilityCheck;
    private final EndedWorkflowCleaner endedWorkflows;
    private final RunStopper stopper;
    private boolean scheduleDue = true;
    private long nextSlowTickAt;
    private long nextScheduleAt;

    /**
     * Creates the duty.
     *
     * @param settings leases, intervals and retention times
     * @param ledger the replicated state
     * @param wallClock the Unix time in milliseconds, for submission and due times
     * @param fencingToken higher than that of every earlier duty of the cell
     * @param nowMilliseconds when the duty starts, in the leader's time
     * @param metricsListener receives the refusals that the configuration causes
     */
    public WorkflowDuty(
            WorkflowSettings settings,
            WorkflowLedger ledger,
            Clock wallClock,
            long fencingToken,
            long nowMilliseconds,
            ConfigurationMetricsListener metricsListener) {
        this.ledger = ledger;
        this.sessions = new WorkerSessions(settings, ledger, fencingToken, nowMilliseconds);
        this.advice = new AdviceBroker(fencingToken);
        this.configuration = new ConfigurationRequestHandler(ledger, wallClock, metricsListener);
        Feasibility feasibility = new Feasibility(ledger);
        this.feasibilityCheck =
                new FeasibilityCheck(
                        ledger, feasibility, wallClock, settings.feasibilityDelayMilliseconds());
        this.load = new LoadMeter(ledger, advice, feasibilityCheck);
        this.workflows =
                new WorkflowRequestHandler(
                        ledger, configuration, load, feasibility, feasibilityCheck, wallClock);
        this.workers = new WorkerReportHandler(ledger, sessions);
        this.objectives = new LatencyObjectives(nowMilliseconds - wallClock.nowMilliseconds());
        this.scheduler =
                new RunScheduler(ledger, sessions, advice, objectives, speeds, load, feasibility);
        this.endedWorkflows = new EndedWorkflowCleaner(ledger, settings.retentionMilliseconds());
        this.stopper = new RunStopper(ledger, sessions);
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
        if (applied instanceof StartRuns start) {
            onStarted(nowMilliseconds, start, output);
        } else if (applied instanceof EndRuns end) {
            onEnded(nowMilliseconds, end, output);
        } else if (applied instanceof SubmitWorkflow submit) {
            feasibilityCheck.onAccepted(nowMilliseconds, submit.workflow().id());
        } else if (applied instanceof CancelWorkflow cancel) {
            stopRuns(nowMilliseconds, cancel.workflow(), output);
        } else if (applied instanceof FailWorkflow fail) {
            stopRuns(nowMilliseconds, fail.workflow(), output);
        } else if (applied instanceof ReplaceConfiguration replace) {
            configuration.onApplied(replace, output);
        } else if (applied instanceof EnrollWorker enroll) {
            advice.onEnrolled(enroll.worker().incarnation());
        }
        workers.onApplied(nowMilliseconds, applied, output);
        workflows.onApplied(applied, result, output);
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
            endedWorkflows.tick(nowMilliseconds, output);
            scheduler.logWaiting(nowMilliseconds, output);
        }
        if (nowMilliseconds >= nextScheduleAt) {
            scheduleDue = true;
        }
    }

    @Override
    public void onBatchEnd(long nowMilliseconds, LeaderOutput output) {
        if (scheduleDue) {
            scheduleDue = false;
            nextScheduleAt = nowMilliseconds + SCHEDULE_INTERVAL_MILLISECONDS;
            scheduler.schedule(nowMilliseconds, output);
        }
    }

    /** Returns the current metrics; iterates over all workers. */
    public WorkflowMetrics metrics(long nowMilliseconds) {
        return new WorkflowMetrics(
                sessions.all().size(),
                sessions.countUsable(nowMilliseconds),
                advice.waitingCount());
    }

    /**
     * Returns how many workers the scheduler has examined, counting a worker once for each step.
     */
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
            workers.release(nowMilliseconds, handle, release, output);
        } else if (request instanceof TakeAdviceQuestion poll) {
            advice.onPoll(nowMilliseconds, handle, poll, output);
            scheduleDue = true;
        } else {
            throw new MarjoramnotchException(
                    ErrorCode.INVALID_REQUEST,
                    "The request is not a workflow request; report this routing error.");
        }
    }

    /** Sends the orders for starts that took effect. */
    private void onStarted(long nowMilliseconds, StartRuns start, LeaderOutput output) {
        scheduler.onApplied(start);
        for (RunPlacement placement : start.placements()) {
            Optional<String> ticket = scheduler.takeTicket(placement.run());
            boolean started =
                    ledger.worker(placement.worker())
                            .map(worker -> worker.has(placement.run()))
                            .orElse(false);
            if (started) {
                speeds.onStarted(nowMilliseconds, placement.run());
                sessions.of(placement.worker())
                        .ifPresent(
                                session ->
                                        session.start(nowMilliseconds, placement, ticket, output));
                output.logDecision(
                        DecisionLogEntry.of(
                                "run_started",
                                "run",
                                placement.run(),
                                "worker",
                                placement.worker().worker()));
            }
        }
    }

    private void onEnded(long nowMilliseconds, EndRuns end, LeaderOutput output) {
        sessions.of(end.worker()).ifPresent(session -> session.onEndsApplied(nowMilliseconds, end));
        for (RunEnd run : end.ends()) {
            JobId workflow = run.run().task().step().workflow();
            speeds.onEnded(nowMilliseconds, end.worker().worker(), run)
                    .ifPresent(runTime -> recordRunTime(end.worker(), run, runTime));
            if (run.outcome() == RunOutcome.NOT_STARTED) {
                advice.invalidate(run.run().task().step(), end.worker().worker());
            }
            output.logDecision(
                    DecisionLogEntry.of(
                            "run_ended",
                            "run",
                            run.run(),
                            "worker",
                            end.worker().worker(),
                            "outcome",
                            run.outcome(),
                            "state",
                            ledger.workflow(workflow)
                                    .map(entry -> entry.state().name())
                                    .orElse("forgotten")));
            stopRunsIfOver(nowMilliseconds, workflow, output);
            stopper.stopBrokenGang(nowMilliseconds, run, output);
        }
    }

    private void recordRunTime(WorkerIncarnation worker, RunEnd end, long milliseconds) {
        StepId step = end.run().task().step();
        WorkflowEntry entry = ledger.workflow(step.workflow()).orElse(null);
        StepTasks tasks = entry == null ? null : entry.step(step).orElse(null);
        if (tasks != null) {
            long processorMillis = tasks.definition().reserved().processorMillis();
            ServiceName pool =
                    ledger.worker(worker)
                            .map(known -> known.worker().pool())
                            .orElse(entry.queue().pool());
            load.onRunDone(pool, processorMillis, milliseconds);
        }
    }

    private void stopRunsIfOver(long nowMilliseconds, JobId workflow, LeaderOutput output) {
        boolean hasEnded =
                ledger.workflow(workflow).map(entry -> entry.state().isFinal()).orElse(true);
        if (hasEnded) {
            stopRuns(nowMilliseconds, workflow, output);
        }
    }

    /** Stops the remaining runs of a workflow that has ended. */
    private void stopRuns(long nowMilliseconds, JobId workflow, LeaderOutput output) {
        advice.forget(workflow);
        speeds.forget(workflow);
        objectives.forget(workflow);
        stopper.stopAll(nowMilliseconds, workflow, output);
    }
}
