package org.marjoramnotch.benchmark;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.marjoramnotch.model.command.CancelWorkflow;
import org.marjoramnotch.model.command.Command;
import org.marjoramnotch.model.command.EnrollWorker;
import org.marjoramnotch.model.command.ReplaceConfiguration;
import org.marjoramnotch.model.command.StartRuns;
import org.marjoramnotch.model.command.SubmitWorkflow;
import org.marjoramnotch.model.fleet.FleetConfiguration;
import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.fleet.PoolDefinition;
import org.marjoramnotch.model.fleet.QueueDefinition;
import org.marjoramnotch.model.fleet.TeamDefinition;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.Recurrence;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.RunPlacement;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.StepId;
import org.marjoramnotch.model.workflow.Workflow;
import org.marjoramnotch.model.workflow.WorkflowTaskId;

/** Commands about workflows with names and amounts of typical length. */
final class ExampleWorkflows {
    private static final QueueName QUEUE = new QueueName("base-takeoff");
    private static final ServiceName POOL = new ServiceName("quotedesk");
    private static final TeamName TEAM = new TeamName("kyushu-wards");
    private static final WorkerIncarnation WORKER =
            new WorkerIncarnation(new WorkerId("i-7f3a91c2"), 1_700_000_000_000L);
    private static final Recurrence EACH_DAY =
            new Recurrence(1_000, 1_800_000_000_000L, 86_400_000);
    private static final int MANY_TASKS = 100;

    private ExampleWorkflows() {}

    static List<Command> fleet() {
        FleetConfiguration configuration =
                new FleetConfiguration(
                        1,
                        "{}",
                        List.of(
                                new QueueDefinition(
                                        QUEUE,
                                        "route.example",
                                        "/main/",
                                        POOL,
                                        1,
                                        4,
                                        2.2,
                                        1_200,
                                        false,
                                        Optional.empty())),
                        List.of(new PoolDefinition(POOL, false, false)),
                        List.of(
                                new TeamDefinition(
                                        TEAM, List.of("0123456789abcdef"), 9, Resources.NONE)));
        FleetWorker worker =
                new FleetWorker(
                        WORKER,
                        POOL,
                        "10.128.0.9:8080",
                        new AvailabilityZone("austin"),
                        new Resources(1_000_000_000, 1_000_000_000, 0),
                        List.of("a", "r1-3"),
                        false);
        return List.of(new ReplaceConfiguration(configuration, 1), new EnrollWorker(worker));
    }

    /** Returns a submission of two steps of ten tasks, to be done each day for years. */
    static List<Command> timed(int number) {
        return List.of(submission(number, 2, 10, Optional.of(EACH_DAY)));
    }

    static List<Command> ofOneTask(int number) {
        return List.of(submission(number, 1, 1, Optional.empty()));
    }

    static List<Command> ofManyTasks(int number) {
        return List.of(submission(number, 1, MANY_TASKS, Optional.empty()));
    }

    static List<Command> runningOneTask(int number) {
        RunId run = new RunId(new WorkflowTaskId(new StepId(name(number), 0, 0), 0), 1);
        return List.of(
                submission(number, 1, 1, Optional.empty()),
                new StartRuns(List.of(new RunPlacement(run, WORKER, ""))));
    }

    static List<Command> ended(int number) {
        return List.of(
                submission(number, 1, 1, Optional.empty()), new CancelWorkflow(name(number)));
    }

    private static JobId name(int number) {
        return new JobId("%016x".formatted(number));
    }

    private static Command submission(
            int number, int steps, int tasks, Optional<Recurrence> recurrence) {
        StepDefinition step =
                StepDefinition.builder()
                        .tasks(tasks)
                        .demand(new Resources(500, 256, 0))
                        .estimateMilliseconds(4_800)
                        .build();
        return new SubmitWorkflow(
                new Workflow(
                        name(number),
                        QUEUE,
                        Optional.of(TEAM),
                        "payload",
                        IntStream.range(0, steps).mapToObj(each -> step).toList(),
                        recurrence,
                        1_700_000_000_000L));
    }
}
