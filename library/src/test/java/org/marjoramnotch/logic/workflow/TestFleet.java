package org.marjoramnotch.logic.workflow;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.marjoramnotch.model.fleet.AdviceTiming;
import org.marjoramnotch.model.fleet.FleetConfiguration;
import org.marjoramnotch.model.fleet.PoolDefinition;
import org.marjoramnotch.model.fleet.QueueDefinition;
import org.marjoramnotch.model.fleet.TeamDefinition;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.message.CallTarget;
import org.marjoramnotch.model.message.ReleaseWorker;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.WorkflowDraft;

/** A configuration of two queues and two teams. */
public final class TestFleet {
    static final String KEY = "key-of-team-one";
    static final ServiceName OTHER_POOL = new ServiceName("other-pool");

    private TestFleet() {}

    /** Returns a configuration without limits. */
    public static FleetConfiguration configuration(long version) {
        return configuration(version, Resources.NONE, Optional.empty());
    }

    static FleetConfiguration configuration(
            long version, Resources upperLimit, Optional<AdviceTiming> advice) {
        return new FleetConfiguration(
                version,
                "document " + version,
                List.of(
                        queue("quick", "/quick/", 0, false, advice),
                        queue("open", "/open/", 1, true, Optional.empty())),
                List.of(new PoolDefinition(WorkflowCell.POOL, false, false)),
                List.of(
                        new TeamDefinition(
                                new TeamName("one"), List.of(KEY, "second-key"), 3, upperLimit),
                        new TeamDefinition(
                                new TeamName("two"), List.of("key-two"), 1, Resources.NONE)));
    }

    static QueueDefinition queue(
            String name, String prefix, int priority, boolean open, Optional<AdviceTiming> advice) {
        return new QueueDefinition(
                new QueueName(name),
                "callers.example",
                prefix,
                WorkflowCell.POOL,
                priority,
                4,
                1.5,
                250,
                open,
                advice);
    }

    /** Returns a configuration whose quick queue allows some failed runs of a task. */
    public static FleetConfiguration withMostFailures(FleetConfiguration usual, int mostFailures) {
        QueueDefinition quick = usual.queues().get(0);
        QueueDefinition limited =
                new QueueDefinition(
                        quick.name(),
                        quick.host(),
                        quick.pathPrefix(),
                        quick.pool(),
                        quick.priority(),
                        mostFailures,
                        quick.stretch(),
                        quick.slackMilliseconds(),
                        quick.open(),
                        quick.advice());
        return new FleetConfiguration(
                usual.version(),
                usual.document(),
                List.of(limited, usual.queues().get(1)),
                usual.pools(),
                usual.teams());
    }

    /** Returns a configuration that sends the quick queue to another pool. */
    static FleetConfiguration movedQueue(long version) {
        return movedQueue(version, Resources.NONE);
    }

    static FleetConfiguration movedQueue(long version, Resources upperLimit) {
        FleetConfiguration usual = configuration(version, upperLimit, Optional.empty());
        QueueDefinition quick = usual.queues().get(0);
        QueueDefinition moved =
                new QueueDefinition(
                        quick.name(),
                        quick.host(),
                        quick.pathPrefix(),
                        OTHER_POOL,
                        quick.priority(),
                        quick.mostFailures(),
                        quick.stretch(),
                        quick.slackMilliseconds(),
                        quick.open(),
                        quick.advice());
        return new FleetConfiguration(
                version,
                usual.document(),
                List.of(moved, usual.queues().get(1)),
                List.of(usual.pools().get(0), new PoolDefinition(OTHER_POOL, false, false)),
                usual.teams());
    }

    /** Returns the target of a workflow in the quick queue. */
    public static CallTarget target(String workflow) {
        return new CallTarget("callers.example", "/quick/" + workflow, Optional.of(KEY));
    }

    static WorkflowDraft draft(int tasks, long processorMillis) {
        StepDefinition step =
                StepDefinition.builder()
                        .tasks(tasks)
                        .demand(new Resources(processorMillis, 100, 0))
                        .estimateMilliseconds(400)
                        .build();
        return new WorkflowDraft("payload", List.of(step), Optional.empty());
    }

    /** Lets a worker end, and its announcement of this arrive. */
    static void leave(WorkflowCell cell, WorkerId worker) {
        OptionalLong started =
                cell.ledger.worker(worker).stream()
                        .mapToLong(entry -> entry.worker().incarnation().startedEpochMilliseconds())
                        .findFirst();
        cell.crash(worker);
        cell.request(new ReleaseWorker(worker, started));
    }
}
