package org.marjoramnotch.logic.workflow;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.order.CallOutcome;
import org.marjoramnotch.model.order.RunEndReport;
import org.marjoramnotch.model.order.RunStatus;
import org.marjoramnotch.model.workflow.RunEnd;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.RunOutcome;

/** Compares the run list of a worker with the runs that the ledger has on it. */
final class RunListComparator {
    private static final int MAXIMUM_ENDS_PER_LIST = 500;

    private final WorkflowLedger ledger;
    private final RunOrderTracker orders;

    /**
     * Differences between a list and the ledger.
     *
     * @param unknownRuns runs that the ledger does not have on the worker
     * @param obsoleteRuns runs of workflows that have ended
     * @param ends run ends that the ledger does not have yet
     * @param lastEnd the number of the last end in the list; 0 if there is none
     */
    record Findings(
            Set<RunId> unknownRuns, Set<RunId> obsoleteRuns, List<RunEnd> ends, long lastEnd) {}

    RunListComparator(WorkflowLedger ledger, RunOrderTracker orders) {
        this.ledger = ledger;
        this.orders = orders;
    }

    Findings compare(WorkerIncarnation worker, long acknowledged, CallOutcome.Listed list) {
        Collection<ActiveRun> runs = ledger.worker(worker).map(WorkerEntry::runs).orElse(List.of());
        Set<RunId> known = runs.stream().map(ActiveRun::run).collect(Collectors.toSet());
        Set<RunId> running =
                list.running().stream().map(RunStatus::run).collect(Collectors.toSet());
        Set<RunId> unknown = new HashSet<>();
        Set<RunId> obsolete = new HashSet<>();
        for (RunId run : running) {
            if (!known.contains(run)) {
                unknown.add(run);
            } else if (hasWorkflowEnded(run)) {
                obsolete.add(run);
            }
        }
        List<RunEnd> ends = new ArrayList<>();
        Set<RunId> ended = new HashSet<>();
        for (RunEndReport report : list.ended()) {
            RunEnd end = report.end();
            ended.add(end.run());
            boolean counts =
                    known.contains(end.run()) || ledger.effectOf(worker, end).isEffective();
            if (report.number() > acknowledged && counts) {
                ends.add(end);
            }
        }
        if (list.ended().size() < MAXIMUM_ENDS_PER_LIST) {
            known.stream()
                    .filter(run -> !running.contains(run) && !ended.contains(run))
                    .filter(run -> isVisible(list, run))
                    .forEach(run -> ends.add(new RunEnd(run, RunOutcome.NOT_STARTED, "")));
        }
        int last = list.ended().size() - 1;
        return new Findings(
                unknown, obsolete, ends, last < 0 ? 0 : list.ended().get(last).number());
    }

    private boolean isVisible(CallOutcome.Listed list, RunId run) {
        return orders.isVisibleInList(list.id(), list.workerClockMilliseconds(), run);
    }

    private boolean hasWorkflowEnded(RunId run) {
        return ledger.workflow(run.task().step().workflow())
                .map(workflow -> workflow.state().isFinal())
                .orElse(true);
    }

    /** Returns whether the task of a run waits and no other run followed. */
    boolean isLastRunOfWaitingTask(RunId run) {
        return ledger.workflow(run.task().step().workflow())
                .flatMap(workflow -> workflow.task(run.task()))
                .map(task -> task.isWaiting() && task.run() == run.number())
                .orElse(false);
    }
}
