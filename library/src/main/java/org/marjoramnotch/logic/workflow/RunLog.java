package org.marjoramnotch.logic.workflow;

import java.util.IdentityHashMap;
import java.util.Optional;
import java.util.OptionalLong;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.model.command.CommandResult;
import org.marjoramnotch.model.command.EndRuns;
import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.workflow.AppliedEnd;
import org.marjoramnotch.model.workflow.RunEnd;
import org.marjoramnotch.model.workflow.RunEndEffect;
import org.marjoramnotch.model.workflow.RunId;

/** Logs and counts the decisions about runs in one term of leadership. */
final class RunLog {
    private final WorkflowLedger ledger;
    private final long fencingToken;
    private final RunMetricsListener metrics;
    private final IdentityHashMap<EndRuns, EndOrigin> proposed = new IdentityHashMap<>();

    RunLog(WorkflowLedger ledger, long fencingToken, RunMetricsListener metrics) {
        this.ledger = ledger;
        this.fencingToken = fencingToken;
        this.metrics = metrics;
    }

    /** Logs a decision with the fencing token of its orders and the position of the log. */
    void log(DecisionLogEntry decision, LeaderOutput output) {
        output.logDecision(decision.with("token", fencingToken).at(output.position()));
    }

    /** Logs a start that its worker leaves unanswered and that is not sent again. */
    void onStartGivenUp(RunId run, FleetWorker worker, long ageMilliseconds, LeaderOutput output) {
        metrics.onStartGivenUp();
        log(
                DecisionLogEntry.of(
                        "start_given_up",
                        "run",
                        run,
                        "worker",
                        worker.id(),
                        "reason",
                        "unanswered",
                        "age_ms",
                        ageMilliseconds),
                output);
    }

    /** Logs a start that is not sent, or not sent again, because its zone is evacuated. */
    void onStartWithheld(
            RunId run, FleetWorker worker, OrderEvidence evidence, LeaderOutput output) {
        log(
                DecisionLogEntry.of(
                        "start_withheld",
                        "run",
                        run,
                        "worker",
                        worker.id(),
                        "reason",
                        "zone_evacuated",
                        "zone",
                        worker.availabilityZone(),
                        "sent",
                        evidence.sentAt().isPresent()),
                output);
    }

    /** Counts an end that is acknowledged without being proposed. */
    void onUncountedEndAcknowledged(RunEndEffect effect) {
        metrics.onUncountedEndAcknowledged(effect);
    }

    /** Remembers where ends come from until they are applied. */
    void onProposed(EndRuns ends, EndOrigin origin) {
        proposed.put(ends, origin);
    }

    /** Handles the application of ends. */
    void onApplied(EndRuns ends, CommandResult result, LeaderOutput output) {
        EndOrigin origin = proposed.remove(ends);
        onEnded(
                ends.worker().worker(),
                origin == null ? EndOrigin.of(RunEndSource.OTHER_LEADER) : origin,
                result,
                output);
    }

    /** Handles the ends of runs that a command brought about. */
    void onEnded(WorkerId worker, EndOrigin origin, CommandResult result, LeaderOutput output) {
        if (result instanceof CommandResult.RunsEnded ended) {
            ended.ends().forEach(applied -> onEnded(worker, origin, applied, output));
        }
    }

    private void onEnded(
            WorkerId worker, EndOrigin origin, AppliedEnd applied, LeaderOutput output) {
        RunEnd end = applied.end();
        RunEndSource source = origin.sourceOf(applied);
        metrics.onEndApplied(source, applied.effect());
        Optional<WorkflowEntry> workflow = ledger.workflow(end.run().task().step().workflow());
        WorkerId ranOn =
                source == RunEndSource.GANG
                        ? workflow.flatMap(entry -> entry.task(end.run().task()))
                                .flatMap(TaskState::worker)
                                .orElse(worker)
                        : worker;
        DecisionLogEntry decision =
                applied.effect().isEffective()
                        ? DecisionLogEntry.of("run_ended", "run", end.run(), "worker", ranOn)
                        : DecisionLogEntry.of(
                                "end_without_effect",
                                "run",
                                end.run(),
                                "worker",
                                ranOn,
                                "reason",
                                applied.effect());
        log(
                decision.with(
                        "outcome",
                        end.outcome(),
                        "state",
                        workflow.map(entry -> entry.state().name()).orElse("forgotten"),
                        "source",
                        source,
                        "effect",
                        applied.effect(),
                        "failures",
                        applied.failures(),
                        "number",
                        orNone(origin.numberOf(end.run())),
                        "call",
                        orNone(origin.call())),
                output);
    }

    /** Returns a value for a log line. */
    static Object orNone(OptionalLong value) {
        return value.isPresent() ? value.getAsLong() : "none";
    }
}
