package org.marjoramnotch.logic.workflow;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.model.command.FailWorkflow;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.StepDefinition;

/**
 * Finds workflows that could not have run on any worker, or within any limit of their team, that
 * the fleet has had. A step that was placed once has shown that it can run.
 */
final class FeasibilityCheck {
    private final WorkflowLedger ledger;
    private final long delayMilliseconds;
    private final Map<JobId, Long> infeasibleSince = new HashMap<>();

    FeasibilityCheck(WorkflowLedger ledger, long delayMilliseconds) {
        this.ledger = ledger;
        this.delayMilliseconds = delayMilliseconds;
    }

    /** Proposes to fail workflows that have been infeasible for the whole delay. */
    void check(long nowMilliseconds, LeaderOutput output) {
        Map<JobId, Long> before = Map.copyOf(infeasibleSince);
        infeasibleSince.clear();
        for (WorkflowEntry entry : ledger.active()) {
            Optional<String> reason = findObstacle(entry);
            if (reason.isEmpty()) {
                continue;
            }
            long since = before.getOrDefault(entry.id(), nowMilliseconds);
            infeasibleSince.put(entry.id(), since);
            if (nowMilliseconds - since >= delayMilliseconds) {
                output.propose(new FailWorkflow(entry.id(), reason.get()));
            }
        }
    }

    private Optional<String> findObstacle(WorkflowEntry entry) {
        List<StepDefinition> steps = entry.workflow().steps();
        for (int number = 0; number < steps.size(); number++) {
            Optional<String> obstacle = findObstacle(entry, steps.get(number));
            if (obstacle.isPresent() && !entry.wasPlaced(number)) {
                return obstacle;
            }
        }
        return Optional.empty();
    }

    private Optional<String> findObstacle(WorkflowEntry entry, StepDefinition step) {
        FleetHistory history = ledger.history();
        if (!history.mayFitWorker(entry.queue().pool(), step)) {
            return Optional.of("no worker of the pool is large enough or has the label");
        }
        Resources atOnce = step.gang() ? step.demand().times(step.tasks()) : step.demand();
        boolean allowed =
                entry.workflow()
                        .team()
                        .flatMap(ledger::team)
                        .map(team -> history.mayAllowTeam(team.name(), atOnce))
                        .orElse(true);
        return allowed ? Optional.empty() : Optional.of("the upper limit of the team is smaller");
    }
}
