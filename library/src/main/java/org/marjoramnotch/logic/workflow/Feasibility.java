package org.marjoramnotch.logic.workflow;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.model.command.FailWorkflow;
import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.fleet.TeamDefinition;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.StepDefinition;

/** Finds workflows that no worker of the fleet or no limit of their team will ever let run. */
final class Feasibility {
    private final WorkflowLedger ledger;
    private final long delayMilliseconds;
    private final Map<JobId, Long> hopelessSince = new HashMap<>();

    Feasibility(WorkflowLedger ledger, long delayMilliseconds) {
        this.ledger = ledger;
        this.delayMilliseconds = delayMilliseconds;
    }

    /** Proposes to give up what has been impossible for the whole delay. */
    void check(long nowMilliseconds, LeaderOutput output) {
        Map<JobId, Long> before = Map.copyOf(hopelessSince);
        hopelessSince.clear();
        Map<ServiceName, List<FleetWorker>> pools =
                ledger.workers().stream()
                        .map(WorkerEntry::worker)
                        .collect(Collectors.groupingBy(FleetWorker::pool));
        for (WorkflowEntry entry : ledger.active()) {
            List<FleetWorker> pool = pools.getOrDefault(entry.queue().pool(), List.of());
            Optional<String> reason = obstacle(entry, pool);
            if (reason.isEmpty()) {
                continue;
            }
            long since = before.getOrDefault(entry.id(), nowMilliseconds);
            hopelessSince.put(entry.id(), since);
            if (nowMilliseconds - since >= delayMilliseconds) {
                output.propose(new FailWorkflow(entry.id(), reason.get()));
            }
        }
    }

    private Optional<String> obstacle(WorkflowEntry entry, List<FleetWorker> pool) {
        if (pool.isEmpty()) {
            return Optional.empty();
        }
        return entry.workflow().steps().stream()
                .map(step -> obstacle(entry, step, pool))
                .flatMap(Optional::stream)
                .findFirst();
    }

    private Optional<String> obstacle(
            WorkflowEntry entry, StepDefinition step, List<FleetWorker> pool) {
        boolean fits =
                pool.stream()
                        .filter(
                                worker ->
                                        step.requiredLabel()
                                                .map(worker.labels()::contains)
                                                .orElse(true))
                        .anyMatch(worker -> worker.capacity().holds(step.reserved()));
        if (!fits) {
            return Optional.of("no worker of the pool is large enough or has the label");
        }
        Optional<TeamDefinition> team = entry.workflow().team().flatMap(ledger::team);
        Resources atOnce = step.gang() ? times(step.demand(), step.tasks()) : step.demand();
        return team.isPresent() && !team.get().allows(atOnce)
                ? Optional.of("the upper limit of the team is smaller")
                : Optional.empty();
    }

    private static Resources times(Resources demand, int count) {
        return new Resources(
                demand.processorMillis() * count,
                demand.memoryMegabytes() * count,
                demand.accelerators() * count);
    }
}
