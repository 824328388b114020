package org.marjoramnotch.logic.workflow;

import java.util.Optional;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.model.command.CommandResult;
import org.marjoramnotch.model.command.DismissWorker;
import org.marjoramnotch.model.command.EndRuns;
import org.marjoramnotch.model.command.EnrollWorker;
import org.marjoramnotch.model.command.StartRuns;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.workflow.RunEnd;
import org.marjoramnotch.model.workflow.RunOutcome;
import org.marjoramnotch.model.workflow.RunPlacement;
import org.marjoramnotch.model.workflow.StepId;

/** Acts on starts and ends of runs once they are applied. */
final class AppliedRunHandler {
    private final WorkflowLedger ledger;
    private final WorkerSessions sessions;
    private final AdviceBroker advice;
    private final SpeedEstimator speeds;
    private final LatencyObjectives objectives;
    private final LoadMeter load;
    private final RunScheduler scheduler;
    private final RunStopper stopper;
    private final RunLog log;

    AppliedRunHandler(
            WorkflowLedger ledger,
            WorkerSessions sessions,
            AdviceBroker advice,
            SpeedEstimator speeds,
            LatencyObjectives objectives,
            LoadMeter load,
            RunScheduler scheduler,
            RunStopper stopper,
            RunLog log) {
        this.ledger = ledger;
        this.sessions = sessions;
        this.advice = advice;
        this.speeds = speeds;
        this.objectives = objectives;
        this.load = load;
        this.scheduler = scheduler;
        this.stopper = stopper;
        this.log = log;
    }

    /** Sends the orders for starts that took effect. */
    void onStarted(long nowMilliseconds, StartRuns start, LeaderOutput output) {
        scheduler.onApplied(start);
        for (RunPlacement placement : start.placements()) {
            Optional<String> ticket = scheduler.takeTicket(placement.run());
            boolean started =
                    ledger.worker(placement.worker())
                            .map(worker -> worker.has(placement.run()))
                            .orElse(false);
            if (started) {
                speeds.onStarted(nowMilliseconds, placement.run());
                load.onRunStarted(nowMilliseconds, placement.run().task().step());
                sessions.of(placement.worker())
                        .ifPresent(
                                session ->
                                        session.start(nowMilliseconds, placement, ticket, output));
            }
            String event = started ? "run_started" : "start_without_effect";
            log.log(
                    DecisionLogEntry.of(
                            event, "run", placement.run(), "worker", placement.worker().worker()),
                    output);
        }
    }

    /** Handles applied ends, with or without effect. */
    void onEnded(long nowMilliseconds, EndRuns end, CommandResult result, LeaderOutput output) {
        log.onApplied(end, result, output);
        sessions.of(end.worker())
                .ifPresent(session -> session.onEndsApplied(nowMilliseconds, end, output));
        for (RunEnd run : end.ends()) {
            JobId workflow = run.run().task().step().workflow();
            speeds.onEnded(nowMilliseconds, end.worker().worker(), run)
                    .ifPresent(runTime -> recordRunTime(end.worker(), run, runTime));
            if (run.outcome() == RunOutcome.NOT_STARTED) {
                advice.invalidate(run.run().task().step(), end.worker().worker());
            }
            stopRunsIfOver(nowMilliseconds, workflow, output);
            stopper.stopBrokenGang(nowMilliseconds, run, output);
        }
    }

    /** Logs the ends of runs whose worker was dismissed. */
    void onDismissed(DismissWorker dismiss, CommandResult result, LeaderOutput output) {
        EndOrigin origin = EndOrigin.of(RunEndSource.WORKER_DISMISSED);
        log.onEnded(dismiss.worker().worker(), origin, result, output);
    }

    /** Logs the ends of runs of the earlier incarnation of a worker. */
    void onEnrolled(EnrollWorker enroll, CommandResult result, LeaderOutput output) {
        EndOrigin origin = EndOrigin.of(RunEndSource.NEXT_LIFE);
        log.onEnded(enroll.worker().id(), origin, result, output);
    }

    private void recordRunTime(WorkerIncarnation worker, RunEnd end, long milliseconds) {
        StepId step = end.run().task().step();
        WorkflowEntry entry = ledger.workflow(step.workflow()).orElse(null);
        StepTasks tasks = entry == null ? null : entry.step(step).orElse(null);
        if (tasks != null) {
            ServiceName pool =
                    ledger.worker(worker)
                            .map(known -> known.worker().pool())
                            .orElse(entry.queue().pool());
            load.onRunDone(pool, entry.queue().name(), tasks.definition(), milliseconds);
        }
    }

    private void stopRunsIfOver(long nowMilliseconds, JobId workflow, LeaderOutput output) {
        boolean hasEnded =
                ledger.workflow(workflow).map(entry -> entry.state().isFinal()).orElse(true);
        if (hasEnded) {
            stopAll(nowMilliseconds, workflow, output);
        }
    }

    /** Stops the remaining runs of a workflow that has ended. */
    void stopAll(long nowMilliseconds, JobId workflow, LeaderOutput output) {
        advice.forget(workflow);
        speeds.forget(workflow);
        load.forget(workflow);
        objectives.forget(workflow);
        stopper.stopAll(nowMilliseconds, workflow, output);
    }
}
