package org.marjoramnotch.wire;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.marjoramnotch.model.command.BeginEvacuation;
import org.marjoramnotch.model.command.CancelWorkflow;
import org.marjoramnotch.model.command.Command;
import org.marjoramnotch.model.command.DismissWorker;
import org.marjoramnotch.model.command.EndRuns;
import org.marjoramnotch.model.command.EnrollWorker;
import org.marjoramnotch.model.command.FailWorkflow;
import org.marjoramnotch.model.command.FinishEvacuation;
import org.marjoramnotch.model.command.ForgetWorkflows;
import org.marjoramnotch.model.command.RecordHeldLimit;
import org.marjoramnotch.model.command.ReplaceConfiguration;
import org.marjoramnotch.model.command.StartRuns;
import org.marjoramnotch.model.command.SubmitWorkflow;
import org.marjoramnotch.model.fleet.AdviceTiming;
import org.marjoramnotch.model.fleet.FleetConfiguration;
import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.fleet.InheritedLease;
import org.marjoramnotch.model.fleet.PoolDefinition;
import org.marjoramnotch.model.fleet.QueueDefinition;
import org.marjoramnotch.model.fleet.TeamDefinition;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.message.AdviceAnswer;
import org.marjoramnotch.model.message.AdviceQuestion;
import org.marjoramnotch.model.message.ApplyConfiguration;
import org.marjoramnotch.model.message.BeginEvacuationRequest;
import org.marjoramnotch.model.message.CallTarget;
import org.marjoramnotch.model.message.CancelWorkflowRequest;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.CellRequest;
import org.marjoramnotch.model.message.ConfigurationAnswer;
import org.marjoramnotch.model.message.FinishEvacuationRequest;
import org.marjoramnotch.model.message.QueueAnswer;
import org.marjoramnotch.model.message.ReadConfiguration;
import org.marjoramnotch.model.message.ReadWorkflow;
import org.marjoramnotch.model.message.ReleaseWorker;
import org.marjoramnotch.model.message.ReportHeldLimit;
import org.marjoramnotch.model.message.ReportWorker;
import org.marjoramnotch.model.message.SubmitWorkflowRequest;
import org.marjoramnotch.model.message.TakeAdviceQuestion;
import org.marjoramnotch.model.message.WorkflowAnswer;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.NextLifeEvidence;
import org.marjoramnotch.model.workflow.Recurrence;
import org.marjoramnotch.model.workflow.RunEnd;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.RunOutcome;
import org.marjoramnotch.model.workflow.RunPlacement;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.StepId;
import org.marjoramnotch.model.workflow.Workflow;
import org.marjoramnotch.model.workflow.WorkflowDraft;
import org.marjoramnotch.model.workflow.WorkflowState;
import org.marjoramnotch.model.workflow.WorkflowTaskId;

/** One example of each command, request and reply about workflows. */
final class WorkflowExamples {
    private static final JobId ID = new JobId("0123456789abcdef");
    private static final StepDefinition STEP =
            StepDefinition.builder()
                    .tasks(3)
                    .demand(new Resources(500, 256, 1))
                    .estimateMilliseconds(900)
                    .requiredLabel(Optional.of("a"))
                    .dataRack(Optional.of("r1-3"))
                    .mostPerWorker(2)
                    .image("image")
                    .latencyTargetMilliseconds(40)
                    .build();
    private static final StepDefinition SECOND =
            StepDefinition.builder().after(List.of(0)).gang(true).sameRack(true).build();
    private static final Workflow WORKFLOW =
            new Workflow(
                    ID,
                    new QueueName("quick"),
                    Optional.of(new TeamName("team")),
                    "payload",
                    List.of(STEP, SECOND),
                    Optional.of(new Recurrence(2, 1_000, 500)),
                    99);
    private static final FleetConfiguration CONFIGURATION =
            new FleetConfiguration(
                    7,
                    "{}",
                    List.of(
                            new QueueDefinition(
                                    new QueueName("quick"),
                                    "host",
                                    "/prefix/",
                                    new ServiceName("pool"),
                                    1,
                                    4,
                                    1.5,
                                    250,
                                    false,
                                    Optional.of(new AdviceTiming(30, 0.5, 2_500)))),
                    List.of(new PoolDefinition(new ServiceName("pool"), true, false)),
                    List.of(
                            new TeamDefinition(
                                    new TeamName("team"),
                                    List.of("key"),
                                    3,
                                    new Resources(9, 8, 7))));
    private static final WorkerIncarnation INCARNATION =
            new WorkerIncarnation(new WorkerId("w-1"), 5);
    private static final AvailabilityZone ZONE = new AvailabilityZone("zone");
    private static final FleetWorker WORKER =
            new FleetWorker(
                    INCARNATION,
                    new ServiceName("pool"),
                    "10.0.0.1:80",
                    ZONE,
                    new Resources(64_000, 64_000, 1),
                    List.of("a", "r1-3"),
                    false);
    private static final StepId STEP_ID = new StepId(ID, 0, 0);
    private static final RunId RUN = new RunId(new WorkflowTaskId(STEP_ID, 1), 1);
    private static final CallTarget TARGET = new CallTarget("host", "/p/" + ID, Optional.of("key"));

    static final List<Command> COMMANDS =
            List.of(
                    new ReplaceConfiguration(CONFIGURATION, 1_700_000_000_000L),
                    new EnrollWorker(
                            WORKER,
                            Optional.of(
                                    new NextLifeEvidence(
                                            List.of(RUN.task()), List.of(RUN.task()), true)),
                            Optional.of(new InheritedLease(INCARNATION, 10_300, 10_000)),
                            true),
                    new SubmitWorkflow(WORKFLOW, 14_000_000),
                    new StartRuns(List.of(new RunPlacement(RUN, INCARNATION, "checkpoint"))),
                    new EndRuns(INCARNATION, List.of(new RunEnd(RUN, RunOutcome.FAILED, "saved"))),
                    new CancelWorkflow(new JobId("fedcba9876543210")),
                    new FailWorkflow(new JobId("fedcba9876543210"), "reason"),
                    new ForgetWorkflows(List.of(new JobId("fedcba9876543210"))),
                    new DismissWorker(
                            new WorkerIncarnation(new WorkerId("w-2"), 1),
                            Optional.of(
                                    new NextLifeEvidence(
                                            List.of(RUN.task()), List.of(RUN.task()), true))),
                    new BeginEvacuation(ZONE, 1_700_000_000_001L),
                    new FinishEvacuation(ZONE, 1_700_000_000_002L),
                    new BeginEvacuation(new AvailabilityZone("zone-b"), 1_700_000_000_003L),
                    new RecordHeldLimit(new VmId("vm"), 14_000_000));

    static final List<CellRequest> REQUESTS =
            List.of(
                    new SubmitWorkflowRequest(
                            TARGET, new WorkflowDraft("payload", List.of(STEP), Optional.empty())),
                    new ReadWorkflow(TARGET),
                    new CancelWorkflowRequest(TARGET),
                    new ApplyConfiguration(CONFIGURATION),
                    new ReadConfiguration(),
                    new ReportWorker(WORKER, 4),
                    new ReleaseWorker(new WorkerId("w-1"), OptionalLong.of(5), OptionalLong.of(6)),
                    new TakeAdviceQuestion(
                            new VmId("vm"),
                            Optional.of(
                                    new AdviceAnswer(
                                            3,
                                            Optional.of(Map.of(new WorkerId("w-1"), "ticket")),
                                            2_500)),
                            2_000),
                    new BeginEvacuationRequest(ZONE),
                    new FinishEvacuationRequest(ZONE),
                    new ReportHeldLimit(new VmId("vm"), 14_000_000));

    static final List<CellReply> REPLIES =
            List.of(
                    new WorkflowAnswer(WorkflowState.FAILED, Optional.of("reason")),
                    new QueueAnswer(3),
                    new ConfigurationAnswer("{}"),
                    new AdviceQuestion(3, STEP_ID, List.of(new WorkerId("w-1"))));

    private WorkflowExamples() {}
}
