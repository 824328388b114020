package org.marjoramnotch.wire;

import java.util.List;
import java.util.Optional;
import org.marjoramnotch.model.command.CancelJob;
import org.marjoramnotch.model.command.ChangeConfiguration;
import org.marjoramnotch.model.command.ChangeEndpointState;
import org.marjoramnotch.model.command.Command;
import org.marjoramnotch.model.command.EndTask;
import org.marjoramnotch.model.command.ExpireWorker;
import org.marjoramnotch.model.command.ForgetClaims;
import org.marjoramnotch.model.command.ForgetEndpoint;
import org.marjoramnotch.model.command.RegisterEndpoint;
import org.marjoramnotch.model.command.RegisterWorker;
import org.marjoramnotch.model.command.ReleaseSlot;
import org.marjoramnotch.model.command.RemoveEndpoint;
import org.marjoramnotch.model.command.ReserveSlot;
import org.marjoramnotch.model.command.StartTasks;
import org.marjoramnotch.model.command.SubmitJob;
import org.marjoramnotch.model.command.TaskPlacement;
import org.marjoramnotch.model.endpoint.EndpointDescription;
import org.marjoramnotch.model.endpoint.EndpointState;
import org.marjoramnotch.model.endpoint.IdempotencyClaim;
import org.marjoramnotch.model.endpoint.SlotKind;
import org.marjoramnotch.model.endpoint.StoredAnswer;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.ExecutionOutcome;
import org.marjoramnotch.model.error.Refusal;
import org.marjoramnotch.model.identifier.AttemptId;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.EndpointId;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.KeyId;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.RackName;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.identifier.RequestId;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.identifier.TaskAttemptId;
import org.marjoramnotch.model.identifier.TaskId;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.job.JobSpecification;
import org.marjoramnotch.model.job.JobState;
import org.marjoramnotch.model.job.JobStatus;
import org.marjoramnotch.model.job.TaskEnd;
import org.marjoramnotch.model.job.TaskReport;
import org.marjoramnotch.model.job.TaskUsage;
import org.marjoramnotch.model.job.WorkerDescription;
import org.marjoramnotch.model.job.WorkerOrder;
import org.marjoramnotch.model.message.AnnounceEndpoint;
import org.marjoramnotch.model.message.AnnounceWorker;
import org.marjoramnotch.model.message.ApplyRules;
import org.marjoramnotch.model.message.CancelJobRequest;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.CellRequest;
import org.marjoramnotch.model.message.Credential;
import org.marjoramnotch.model.message.Done;
import org.marjoramnotch.model.message.EndAttempt;
import org.marjoramnotch.model.message.EndpointRenewed;
import org.marjoramnotch.model.message.EntryRenewed;
import org.marjoramnotch.model.message.ForgetEndpointRequest;
import org.marjoramnotch.model.message.Granted;
import org.marjoramnotch.model.message.JobAnswer;
import org.marjoramnotch.model.message.NotLeader;
import org.marjoramnotch.model.message.PlaceRequest;
import org.marjoramnotch.model.message.ReadJob;
import org.marjoramnotch.model.message.ReadRules;
import org.marjoramnotch.model.message.ReadStatus;
import org.marjoramnotch.model.message.Refused;
import org.marjoramnotch.model.message.RenewEntry;
import org.marjoramnotch.model.message.RenewWorker;
import org.marjoramnotch.model.message.Replayed;
import org.marjoramnotch.model.message.RulesAnswer;
import org.marjoramnotch.model.message.StatusAnswer;
import org.marjoramnotch.model.message.SubmitJobRequest;
import org.marjoramnotch.model.message.WorkerRenewed;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.rule.KeyRule;
import org.marjoramnotch.model.rule.QueueAccess;
import org.marjoramnotch.model.rule.QueuePolicy;
import org.marjoramnotch.model.rule.QueueRule;
import org.marjoramnotch.model.rule.Repetition;
import org.marjoramnotch.model.rule.RuleKind;
import org.marjoramnotch.model.rule.RuleLine;
import org.marjoramnotch.model.rule.RuleSubject;
import org.marjoramnotch.model.rule.TeamRule;

/** One message of every type; each optional part is present in some and absent in others. */
final class MessageExamples {
    static final Done DONE = new Done();

    private static final VmId VM = new VmId("vm-1");
    private static final AttemptId ATTEMPT = new AttemptId(VM, "a1", 7);
    private static final String DIGEST = "ab".repeat(32);
    private static final QueueName QUEUE = new QueueName("checks");
    private static final TeamName TEAM = new TeamName("kyushu-wards");
    private static final KeyId KEY = new KeyId("kw-1");
    private static final EndpointId ENDPOINT = new EndpointId("gas-1");
    private static final WorkerId WORKER = new WorkerId("w-1");
    private static final JobId JOB = new JobId("job-1");
    private static final RequestId REQUEST = new RequestId("r-1");
    private static final AvailabilityZone ZONE = new AvailabilityZone("fukuoka-1");
    private static final Resources RESOURCES = new Resources(1500, 2000, 1);
    private static final TaskAttemptId TASK_ATTEMPT = new TaskAttemptId(new TaskId(JOB, 0), 1);
    private static final Optional<Credential> CREDENTIAL = Optional.of(new Credential(KEY, DIGEST));
    private static final Optional<IdempotencyClaim> CLAIM =
            Optional.of(new IdempotencyClaim(DIGEST, DIGEST));
    private static final StoredAnswer ANSWER =
            new StoredAnswer(200, "text/plain", new byte[] {1, 2, 3});
    private static final EndpointDescription ENDPOINT_DESCRIPTION =
            new EndpointDescription(
                    ENDPOINT,
                    "i1",
                    new ServiceName("gas-check"),
                    "127.0.0.1",
                    80,
                    8,
                    64,
                    ZONE,
                    "vm-9");
    private static final WorkerDescription WORKER_DESCRIPTION =
            new WorkerDescription(WORKER, RESOURCES, ZONE, new RackName("rack-1"));
    private static final JobSpecification SPECIFICATION =
            new JobSpecification("bundle", 3, RESOURCES, 60_000, true, "payload");
    private static final JobStatus STATUS =
            new JobStatus(JOB, JobState.RUNNING, ExecutionOutcome.UNKNOWN, 1, 1, 1, 0);

    static final List<CellRequest> REQUESTS =
            List.of(
                    new PlaceRequest(
                            ATTEMPT,
                            CREDENTIAL,
                            QUEUE,
                            SlotKind.REQUEST,
                            true,
                            900,
                            ZONE,
                            CLAIM,
                            List.of(ENDPOINT)),
                    new PlaceRequest(
                            ATTEMPT,
                            Optional.empty(),
                            QUEUE,
                            SlotKind.FEED,
                            false,
                            900,
                            ZONE,
                            Optional.empty(),
                            List.of()),
                    new EndAttempt(ATTEMPT, ExecutionOutcome.RAN, true, 12, Optional.of(ANSWER)),
                    new EndAttempt(ATTEMPT, ExecutionOutcome.NOT_RUN, false, 0, Optional.empty()),
                    new RenewEntry(VM, "a1"),
                    new AnnounceEndpoint(
                            ENDPOINT_DESCRIPTION,
                            EndpointState.LEAVING,
                            List.of(ATTEMPT),
                            List.of(ATTEMPT)),
                    new ForgetEndpointRequest(ENDPOINT),
                    new AnnounceWorker(WORKER_DESCRIPTION),
                    new RenewWorker(
                            WORKER,
                            3,
                            500,
                            List.of(TASK_ATTEMPT),
                            List.of(new TaskReport(TASK_ATTEMPT, TaskEnd.FAILED)),
                            List.of(new TaskUsage(TASK_ATTEMPT, RESOURCES))),
                    new SubmitJobRequest(CREDENTIAL, Optional.of(REQUEST), QUEUE, SPECIFICATION),
                    new ReadJob(CREDENTIAL, JOB, Optional.of(JobState.QUEUED), 1000),
                    new CancelJobRequest(Optional.empty(), JOB),
                    new ApplyRules(REQUEST, 4, "team a share 1 limit 2 # b\n"),
                    new ReadRules(),
                    new ReadStatus());

    static final List<CellReply> REPLIES =
            List.of(
                    DONE,
                    new Refused(Refusal.notRun(ErrorCode.OVERLOADED, "Try later.")),
                    NotLeader.notProcessed(Optional.of(VM)),
                    new NotLeader(Optional.empty(), true),
                    new Granted(
                            ATTEMPT,
                            TEAM,
                            ENDPOINT,
                            "incarnation",
                            "127.0.0.1",
                            80,
                            Repetition.ONCE,
                            1000),
                    new Replayed(ANSWER),
                    new EntryRenewed(List.of(ATTEMPT)),
                    new EndpointRenewed(3000, List.of(ATTEMPT)),
                    new WorkerRenewed(
                            2,
                            3000,
                            List.of(
                                    new WorkerOrder.Start(TASK_ATTEMPT, 2, RESOURCES, "payload"),
                                    new WorkerOrder.Stop(TASK_ATTEMPT),
                                    new WorkerOrder.Checkpoint(TASK_ATTEMPT),
                                    new WorkerOrder.Throttle(TASK_ATTEMPT, 500))),
                    new JobAnswer(STATUS),
                    new RulesAnswer(4, "text"),
                    new StatusAnswer(
                            VM,
                            3,
                            9,
                            4,
                            List.of(VM),
                            List.of(new ReplicaId(VM, "d1")),
                            List.of(),
                            1,
                            2,
                            3));

    static final List<Command> COMMANDS =
            List.of(
                    new ChangeConfiguration(
                            REQUEST,
                            4,
                            List.of(new RuleSubject(RuleKind.KEY, "kw-1")),
                            List.of(
                                    new RuleLine(new TeamRule(TEAM, 2, 64), "Aiko"),
                                    new RuleLine(new KeyRule(KEY, TEAM, DIGEST), "Aiko"),
                                    new RuleLine(
                                            new QueueRule(
                                                    QUEUE,
                                                    QueueAccess.PRIVATE,
                                                    Optional.of(TEAM),
                                                    QueuePolicy.QUICK,
                                                    Optional.of(new ServiceName("gas-check")),
                                                    Repetition.ONCE),
                                            "Aiko"))),
                    new RegisterEndpoint(ENDPOINT_DESCRIPTION),
                    new ChangeEndpointState(ENDPOINT, "i1", EndpointState.LEAVING),
                    new RemoveEndpoint(ENDPOINT, "i1"),
                    new ForgetEndpoint(ENDPOINT, "i1"),
                    new ReserveSlot(
                            ATTEMPT,
                            QUEUE,
                            TEAM,
                            Optional.of(KEY),
                            ENDPOINT,
                            "i1",
                            SlotKind.REQUEST,
                            CLAIM),
                    new ReleaseSlot(ATTEMPT, ExecutionOutcome.RAN, Optional.of(ANSWER)),
                    new ForgetClaims(10),
                    new RegisterWorker(WORKER_DESCRIPTION),
                    new ExpireWorker(WORKER, 2),
                    new SubmitJob(
                            JOB,
                            Optional.of(REQUEST),
                            QUEUE,
                            TEAM,
                            Optional.of(KEY),
                            SPECIFICATION),
                    new CancelJob(JOB),
                    new StartTasks(List.of(new TaskPlacement(TASK_ATTEMPT, WORKER, 2))),
                    new EndTask(TASK_ATTEMPT, TaskEnd.SUCCEEDED));

    private MessageExamples() {}
}
