package org.marjoramnotch.benchmark;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.marjoramnotch.model.command.ChangeConfiguration;
import org.marjoramnotch.model.command.Command;
import org.marjoramnotch.model.command.EndTask;
import org.marjoramnotch.model.command.RegisterEndpoint;
import org.marjoramnotch.model.command.RegisterWorker;
import org.marjoramnotch.model.command.ReleaseSlot;
import org.marjoramnotch.model.command.ReserveSlot;
import org.marjoramnotch.model.command.StartTasks;
import org.marjoramnotch.model.command.SubmitJob;
import org.marjoramnotch.model.command.TaskPlacement;
import org.marjoramnotch.model.endpoint.EndpointDescription;
import org.marjoramnotch.model.endpoint.IdempotencyClaim;
import org.marjoramnotch.model.endpoint.SlotKind;
import org.marjoramnotch.model.error.ExecutionOutcome;
import org.marjoramnotch.model.identifier.AttemptId;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.EndpointId;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.KeyId;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.RackName;
import org.marjoramnotch.model.identifier.RequestId;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.identifier.TaskAttemptId;
import org.marjoramnotch.model.identifier.TaskId;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.job.JobSpecification;
import org.marjoramnotch.model.job.TaskEnd;
import org.marjoramnotch.model.job.WorkerDescription;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.rule.KeyRule;
import org.marjoramnotch.model.rule.QueueAccess;
import org.marjoramnotch.model.rule.QueuePolicy;
import org.marjoramnotch.model.rule.QueueRule;
import org.marjoramnotch.model.rule.Repetition;
import org.marjoramnotch.model.rule.RuleLine;
import org.marjoramnotch.model.rule.TeamRule;

/** Commands with names and amounts of typical length. */
final class ExampleCommands {
    private static final TeamName TEAM = new TeamName("kyushu-wards");
    private static final KeyId KEY = new KeyId("kyushu-wards-1");
    private static final QueueName QUICK = new QueueName("gas-checks");
    private static final QueueName BATCH = new QueueName("compliance-bundles");
    private static final ServiceName SERVICE = new ServiceName("gas-check");
    private static final AvailabilityZone ZONE = new AvailabilityZone("fukuoka-a");
    private static final String DIGEST = "0123456789abcdef".repeat(4);
    private static final String REQUESTED_BY = "Aiko, ward office, 2026-11-30";
    private static final int LIMIT = 1_000_000;
    private static final Resources TASK = new Resources(500, 256, 0);
    private static final Resources LARGE_WORKER =
            new Resources(1_000_000_000, 1_000_000_000, 1_000);
    private static final long EXPECTED_RUN_MILLISECONDS = 60_000;

    private ExampleCommands() {}

    static List<RuleLine> rules() {
        Optional<TeamName> owner = Optional.of(TEAM);
        return List.of(
                line(new TeamRule(TEAM, 20, LIMIT)),
                line(new KeyRule(KEY, TEAM, DIGEST)),
                line(
                        new QueueRule(
                                QUICK,
                                QueueAccess.PRIVATE,
                                owner,
                                QueuePolicy.QUICK,
                                Optional.of(SERVICE),
                                Repetition.ONCE)),
                line(
                        new QueueRule(
                                BATCH,
                                QueueAccess.PRIVATE,
                                owner,
                                QueuePolicy.BATCH,
                                Optional.empty(),
                                Repetition.IDEMPOTENT)));
    }

    /**
     * Returns the commands that register one endpoint and one worker with capacity for all that is
     * measured.
     */
    static List<Command> fleet() {
        return List.of(
                new RegisterEndpoint(description("endpoint-large", LIMIT)),
                new RegisterWorker(
                        new WorkerDescription(
                                new WorkerId("worker-large"),
                                LARGE_WORKER,
                                ZONE,
                                new RackName("rack-0"))));
    }

    static Command teamWithKey(int number) {
        TeamName team = new TeamName("team-number-" + number);
        KeyId key = new KeyId("team-number-" + number + "-1");
        return new ChangeConfiguration(
                new RequestId("change-" + number),
                number + 1,
                List.of(),
                List.of(line(new TeamRule(team, 20, 64)), line(new KeyRule(key, team, DIGEST))));
    }

    static Command worker(int number) {
        return new RegisterWorker(
                new WorkerDescription(
                        new WorkerId("worker-" + number),
                        new Resources(64_000, 128_000, 2),
                        ZONE,
                        new RackName("rack-" + number / 6)));
    }

    static Command endpoint(int number) {
        return new RegisterEndpoint(description("endpoint-" + number, 8));
    }

    static Command job(int number) {
        JobSpecification specification =
                new JobSpecification(
                        "monthly-bundle",
                        1,
                        TASK,
                        EXPECTED_RUN_MILLISECONDS,
                        false,
                        "{\"ward\":\"hakata\",\"month\":\"2026-11\"}");
        return new SubmitJob(
                jobId(number),
                Optional.of(new RequestId("request-" + number)),
                BATCH,
                TEAM,
                Optional.of(KEY),
                specification);
    }

    static List<Command> runningTask(int number) {
        TaskAttemptId attempt = new TaskAttemptId(new TaskId(jobId(number), 0), 1);
        TaskPlacement placement = new TaskPlacement(attempt, new WorkerId("worker-large"), 1);
        return List.of(job(number), new StartTasks(List.of(placement)));
    }

    static List<Command> endedTask(int number) {
        List<Command> commands = new ArrayList<>(runningTask(number));
        TaskAttemptId attempt = new TaskAttemptId(new TaskId(jobId(number), 0), 1);
        commands.add(new EndTask(attempt, TaskEnd.SUCCEEDED));
        return commands;
    }

    static Command attempt(int number, boolean claimed) {
        String key = DIGEST.substring(0, 56) + String.format("%08x", number);
        return new ReserveSlot(
                attemptId(number),
                QUICK,
                TEAM,
                Optional.of(KEY),
                new EndpointId("endpoint-large"),
                "b7c7a1f0",
                SlotKind.REQUEST,
                claimed ? Optional.of(new IdempotencyClaim(key, DIGEST)) : Optional.empty());
    }

    static List<Command> endedAttempt(int number) {
        List<Command> commands = new ArrayList<>();
        commands.add(attempt(number, true));
        commands.add(new ReleaseSlot(attemptId(number), ExecutionOutcome.RAN, Optional.empty()));
        return commands;
    }

    private static AttemptId attemptId(int number) {
        return new AttemptId(new VmId("vm-4"), "b7c7a1f0", number);
    }

    private static JobId jobId(int number) {
        return new JobId("j" + DIGEST.substring(0, 24) + String.format("%08x", number));
    }

    private static EndpointDescription description(String name, int slots) {
        return new EndpointDescription(
                new EndpointId(name),
                "b7c7a1f0",
                SERVICE,
                "10.0.0.17",
                8080,
                slots,
                8 * slots,
                ZONE,
                "vm-of-" + name);
    }

    private static RuleLine line(org.marjoramnotch.model.rule.Rule rule) {
        return new RuleLine(rule, REQUESTED_BY);
    }
}
