package org.marjoramnotch.logic.workflow;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.model.command.FailWorkflow;
import org.marjoramnotch.model.fleet.FleetConfiguration;
import org.marjoramnotch.model.fleet.QueueDefinition;
import org.marjoramnotch.model.fleet.QueueMove;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.time.Clock;
import org.marjoramnotch.model.workflow.Workflow;

/** Gives up workflows that have been infeasible, for the same reason, for a delay. */
final class FeasibilityCheck {
    /** Workers of the pool that a queue was sent to may still be starting. */
    private static final long MOVED_QUEUE_DELAY_MILLISECONDS = 15_000;

    /**
     * An infeasible workflow.
     *
     * @param obstacle what keeps it from being done
     * @param sinceMilliseconds when it was found, in the leader's time
     * @param giveUpAtMilliseconds when it is given up unless the obstacle has changed by then
     */
    private record Finding(Obstacle obstacle, long sinceMilliseconds, long giveUpAtMilliseconds) {}

    private final WorkflowLedger ledger;
    private final Feasibility feasibility;
    private final Clock wallClock;
    private final long delayMilliseconds;
    private Map<JobId, Finding> findings = new HashMap<>();

    FeasibilityCheck(
            WorkflowLedger ledger,
            Feasibility feasibility,
            Clock wallClock,
            long delayMilliseconds) {
        this.ledger = ledger;
        this.feasibility = feasibility;
        this.wallClock = wallClock;
        this.delayMilliseconds = delayMilliseconds;
    }

    /** Proposes to fail workflows that have been infeasible for the whole delay. */
    void check(long nowMilliseconds, LeaderOutput output) {
        Map<JobId, Finding> found = new HashMap<>();
        for (WorkflowEntry entry : ledger.active()) {
            Optional<Obstacle> obstacle = feasibility.findObstacle(entry);
            if (obstacle.isEmpty()) {
                continue;
            }
            Finding finding = findings.get(entry.id());
            if (finding == null || obstacle.get().hasNewFactsSince(finding.obstacle())) {
                finding = find(nowMilliseconds, entry, obstacle.get());
            }
            found.put(entry.id(), finding);
            if (nowMilliseconds >= finding.giveUpAtMilliseconds()) {
                output.propose(
                        new FailWorkflow(entry.id(), describe(nowMilliseconds, entry, finding)));
            }
        }
        findings = found;
    }

    /** Notes a workflow that was infeasible at its acceptance. */
    void onAccepted(long nowMilliseconds, JobId workflow) {
        WorkflowEntry entry = ledger.activeWorkflow(workflow).orElse(null);
        if (entry != null && !findings.containsKey(workflow)) {
            feasibility
                    .findObstacle(entry)
                    .map(obstacle -> find(nowMilliseconds, entry, obstacle))
                    .ifPresent(finding -> findings.put(workflow, finding));
        }
    }

    /** Returns whether a workflow could ever be done if it were accepted now. */
    boolean canBeDone(Workflow workflow, QueueDefinition queue) {
        return feasibility.findObstacle(workflow, queue).isEmpty();
    }

    /** Returns whether a workflow could not be done when it was last checked. */
    boolean isInfeasible(JobId workflow) {
        return findings.containsKey(workflow);
    }

    /** Returns why a workflow is about to be given up, if it is. */
    Optional<String> reasonOf(JobId workflow) {
        return Optional.ofNullable(findings.get(workflow))
                .map(finding -> finding.obstacle().describe());
    }

    private Finding find(long nowMilliseconds, WorkflowEntry entry, Obstacle obstacle) {
        return new Finding(obstacle, nowMilliseconds, nowMilliseconds + delayOf(entry, obstacle));
    }

    private long delayOf(WorkflowEntry entry, Obstacle obstacle) {
        boolean acceptedBeforeMove = !entry.formerPools().isEmpty();
        if (acceptedBeforeMove || obstacle instanceof Obstacle.LimitTooLow) {
            return delayMilliseconds;
        }
        long sinceMove =
                ledger.history()
                        .lastMove(entry.queue().name())
                        .map(move -> wallClock.nowMilliseconds() - move.sinceEpochMilliseconds())
                        .orElse(MOVED_QUEUE_DELAY_MILLISECONDS);
        // The wall clock may have been set back since the move.
        long remaining = MOVED_QUEUE_DELAY_MILLISECONDS - Math.max(0, sinceMove);
        return Math.max(delayMilliseconds, remaining);
    }

    private String describe(long nowMilliseconds, WorkflowEntry entry, Finding finding) {
        return finding.obstacle().describe()
                + "; configuration "
                + ledger.configuration().map(FleetConfiguration::version).orElse(0L)
                + ", queue "
                + entry.queue().name()
                + ledger.history()
                        .lastMove(entry.queue().name())
                        .map(QueueMove::version)
                        .map(version -> " sent to pool " + entry.queue().pool() + " by " + version)
                        .orElse("")
                + ", former pools "
                + entry.formerPools()
                + ", for "
                + (nowMilliseconds - finding.sinceMilliseconds())
                + " ms";
    }
}
