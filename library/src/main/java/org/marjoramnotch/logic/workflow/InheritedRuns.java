package org.marjoramnotch.logic.workflow;

import java.util.List;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.model.command.Command;
import org.marjoramnotch.model.command.CommandResult;
import org.marjoramnotch.model.command.StartRuns;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.workflow.RunEnd;
import org.marjoramnotch.model.workflow.RunPlacement;

/**
 * Describes starts and ends of runs that an earlier leader, or earlier duties of this one, decided
 * and may not have logged, since they were applied afterwards.
 */
public final class InheritedRuns {
    private InheritedRuns() {}

    /** Returns the log entries about a command that was just applied. */
    public static List<DecisionLogEntry> describe(
            WorkflowLedger ledger, Command command, CommandResult result) {
        if (command instanceof StartRuns start) {
            return start.placements().stream()
                    .filter(placement -> hasStarted(ledger, placement))
                    .map(
                            placement ->
                                    DecisionLogEntry.of(
                                            "inherited_start",
                                            "run",
                                            placement.run(),
                                            "worker",
                                            placement.worker().worker()))
                    .toList();
        }
        if (result instanceof CommandResult.RunsEnded ended) {
            return ended.ends().stream()
                    .map(
                            applied -> {
                                RunEnd end = applied.end();
                                return DecisionLogEntry.of(
                                        "inherited_end",
                                        "run",
                                        end.run(),
                                        "worker",
                                        workerOf(ledger, end),
                                        "outcome",
                                        end.outcome(),
                                        "effect",
                                        applied.effect());
                            })
                    .toList();
        }
        return List.of();
    }

    private static boolean hasStarted(WorkflowLedger ledger, RunPlacement placement) {
        return ledger.worker(placement.worker())
                .map(worker -> worker.has(placement.run()))
                .orElse(false);
    }

    /** Returns the worker of the last run of a task. */
    private static String workerOf(WorkflowLedger ledger, RunEnd end) {
        return ledger.workflow(end.run().task().step().workflow())
                .flatMap(workflow -> workflow.task(end.run().task()))
                .flatMap(TaskState::worker)
                .map(WorkerId::value)
                .orElse("none");
    }
}
