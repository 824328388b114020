package org.marjoramnotch.logic.workflow;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.order.CallOutcome;
import org.marjoramnotch.model.order.RunEndReport;
import org.marjoramnotch.model.order.RunStatus;
import org.marjoramnotch.model.workflow.NextLifeEvidence;
import org.marjoramnotch.model.workflow.RunEnd;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.WorkflowTaskId;

/** Tracks which starts for one worker incarnation the next one may have carried out. */
final class NextLifeRuns {
    private final WorkflowLedger ledger;
    private final WorkerIncarnation worker;
    private final RunOrderTracker orders;
    private final RunListComparator comparator;
    private final EndProposer proposer;
    private final Set<WorkflowTaskId> tasksAtWork = new LinkedHashSet<>();

    NextLifeRuns(
            WorkflowLedger ledger,
            WorkerIncarnation worker,
            RunOrderTracker orders,
            RunListComparator comparator,
            EndProposer proposer) {
        this.ledger = ledger;
        this.worker = worker;
        this.orders = orders;
        this.comparator = comparator;
        this.proposer = proposer;
    }

    /** Handles a list of the next life. */
    void onList(CallOutcome.Listed list, LeaderOutput output) {
        list.running().stream()
                .map(RunStatus::run)
                .filter(run -> hasRun(run) || comparator.isLastRunOfWaitingTask(run))
                .forEach(run -> tasksAtWork.add(run.task()));
        List<RunEnd> ends =
                list.ended().stream()
                        .map(RunEndReport::end)
                        .filter(end -> ledger.effectOf(worker, end).isEffective())
                        .toList();
        if (!ends.isEmpty()) {
            proposer.proposeListedByNextLife(list, ends, output);
        }
    }

    /** Handles an answer of the next life which shows that it has carried out a start. */
    void onStarted(RunId run) {
        tasksAtWork.add(run.task());
    }

    /**
     * Returns what the next life may have carried out. An answer to a start does not name the life
     * that sent it; a list does.
     *
     * @param shown whether the latest list of this life showed a run
     * @param leasePossible whether the next life may have got a lease
     */
    NextLifeEvidence evidence(Predicate<RunId> shown, boolean leasePossible) {
        Set<WorkflowTaskId> possible = new LinkedHashSet<>(orders.possiblyStartedTasks(shown));
        entry().stream()
                .flatMap(known -> known.runs().stream())
                .map(ActiveRun::run)
                .filter(run -> !shown.test(run))
                .forEach(run -> possible.add(run.task()));
        possible.removeAll(tasksAtWork);
        return new NextLifeEvidence(List.copyOf(possible), List.copyOf(tasksAtWork), leasePossible);
    }

    private boolean hasRun(RunId run) {
        return entry().map(known -> known.has(run)).orElse(false);
    }

    private Optional<WorkerEntry> entry() {
        return ledger.worker(worker);
    }
}
