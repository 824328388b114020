package org.marjoramnotch.logic.workflow;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.BeforeEach;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.command.Command;
import org.marjoramnotch.model.command.EnrollWorker;
import org.marjoramnotch.model.command.ReplaceConfiguration;
import org.marjoramnotch.model.command.StartRuns;
import org.marjoramnotch.model.command.SubmitWorkflow;
import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.order.CallOutcome;
import org.marjoramnotch.model.order.ListRuns;
import org.marjoramnotch.model.order.RunStatus;
import org.marjoramnotch.model.order.WorkerCall;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.RunPlacement;
import org.marjoramnotch.model.workflow.StepId;
import org.marjoramnotch.model.workflow.Workflow;
import org.marjoramnotch.model.workflow.WorkflowTaskId;

/** A session with a worker whose calls are answered by the test. */
abstract class WorkerSessionTestCase {
    static final long LEASE_OVER = 8_000;
    static final WorkflowTaskId TASK =
            new WorkflowTaskId(new StepId(new JobId("0123456789abcdef"), 0, 0), 0);

    final FleetWorker worker =
            new FleetWorker(
                    new WorkerIncarnation(new WorkerId("w-1"), 1),
                    WorkflowCell.POOL,
                    "10.0.0.1:80",
                    new AvailabilityZone("zone"),
                    new Resources(8_000, 16_000, 0),
                    List.of("a", "rack-1"),
                    false);
    final List<WorkerCall> calls = new ArrayList<>();
    final List<Command> proposals = new ArrayList<>();
    final List<DecisionLogEntry> decisionLog = new ArrayList<>();
    final LeaderOutput output =
            new LeaderOutput() {
                @Override
                public void propose(Command command) {
                    proposals.add(command);
                }

                @Override
                public void reply(RequestHandle handle, CellReply reply) {}

                @Override
                public void call(WorkerCall call) {
                    calls.add(call);
                }

                @Override
                public void logDecision(DecisionLogEntry logEntry) {
                    decisionLog.add(logEntry);
                }
            };
    final WorkflowLedger ledger = new WorkflowLedger();
    WorkerSession session;

    @BeforeEach
    void openSession() {
        ledger.apply(new EnrollWorker(worker));
        session =
                new WorkerSession(
                        WorkflowSettings.defaults(),
                        ledger,
                        SessionStart.DUTIES,
                        new CallRegistry(1),
                        new FirstListLimiter(),
                        1,
                        2,
                        worker,
                        new RunLog(ledger, 1, RunMetricsListener.NONE),
                        0);
        session.tick(0, output);
    }

    void answerList(List<RunStatus> statuses) {
        ListRuns list = (ListRuns) calls.remove(0);
        session.onOutcome(
                10,
                list,
                0,
                new CallOutcome.Listed(list.id(), 0, OptionalLong.of(1), statuses, List.of()),
                output);
    }

    /** Starts the duty of a later leader, which asks for the first lists. */
    WorkflowDuty startDuty() {
        calls.clear();
        WorkflowDuty duty =
                new WorkflowDuty(
                        WorkflowSettings.defaults(),
                        ledger,
                        () -> WorkflowCell.EPOCH,
                        2,
                        0,
                        ConfigurationMetricsListener.NONE);
        duty.onTick(0, output);
        return duty;
    }

    void startWorkflow(RunPlacement placement) {
        ledger.apply(new ReplaceConfiguration(TestFleet.configuration(1), 0));
        ledger.apply(
                new SubmitWorkflow(
                        new Workflow(
                                TASK.step().workflow(),
                                new QueueName("quick"),
                                Optional.empty(),
                                "payload",
                                TestFleet.draft(1, 1_000).steps(),
                                Optional.empty(),
                                0)));
        ledger.apply(new StartRuns(List.of(placement)));
    }
}
