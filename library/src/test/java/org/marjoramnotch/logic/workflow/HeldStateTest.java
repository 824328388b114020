package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.command.CommandResult;
import org.marjoramnotch.model.command.SubmitWorkflow;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.message.ApplyConfiguration;
import org.marjoramnotch.model.message.CallTarget;
import org.marjoramnotch.model.message.CancelWorkflowRequest;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.Done;
import org.marjoramnotch.model.message.ReadWorkflow;
import org.marjoramnotch.model.message.Refused;
import org.marjoramnotch.model.message.ReportHeldLimit;
import org.marjoramnotch.model.message.SubmitWorkflowRequest;
import org.marjoramnotch.model.message.WorkflowAnswer;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.Recurrence;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.Workflow;
import org.marjoramnotch.model.workflow.WorkflowDraft;

/**
 * Submits more than the replicas can hold. Guards against replicas that accept without end until
 * they run out of memory, and then serve nothing that they have accepted.
 */
class HeldStateTest {
    private static final long LIMIT = 200_000;
    private static final int MOST = 2_000;
    private static final long RETENTION_MILLISECONDS = 20_000;

    private final WorkflowCell cell = new WorkflowCell(1);
    private int submitted;

    /** What is submitted without end; the admission for load accepts all of it. */
    private enum Kind {
        TIMED,
        TIMED_SINGLE_TASK,
        LASTING,
        HOPELESS_WITH_LARGE_PAYLOAD,
        HOPELESS
    }

    @BeforeEach
    void start() {
        cell.checkEvery(1_000);
        restart(LIMIT);
        cell.request(new ApplyConfiguration(TestFleet.configuration(1)));
        cell.run(100);
        cell.addWorker("w-1", new Resources(4_000, 16_000, 0));
        cell.run(1_000);
    }

    private void restart(long limit) {
        cell.settings =
                WorkflowSettings.builder()
                        .leaseMilliseconds(3_000)
                        .retentionMilliseconds(RETENTION_MILLISECONDS)
                        .mostHeldBytes(limit)
                        .build();
        cell.changeLeader();
    }

    private WorkflowDraft draft(Kind kind) {
        boolean hopeless = kind == Kind.HOPELESS || kind == Kind.HOPELESS_WITH_LARGE_PAYLOAD;
        StepDefinition step =
                StepDefinition.builder()
                        .tasks(kind == Kind.TIMED_SINGLE_TASK ? 1 : 20)
                        .demand(new Resources(4_000, 100, 0))
                        .estimateMilliseconds(60_000)
                        .standing(kind == Kind.LASTING)
                        .requiredLabel(hopeless ? Optional.of("absent") : Optional.empty())
                        .build();
        long due = WorkflowCell.EPOCH + cell.now() + 3_600_000;
        boolean timed = kind == Kind.TIMED || kind == Kind.TIMED_SINGLE_TASK;
        return new WorkflowDraft(
                kind == Kind.HOPELESS_WITH_LARGE_PAYLOAD ? "x".repeat(4_000) : "payload",
                List.of(step),
                timed ? Optional.of(new Recurrence(1_000, due, 86_400_000)) : Optional.empty());
    }

    private static CallTarget target(int number) {
        return new CallTarget("callers.example", "/open/%016x".formatted(number), Optional.empty());
    }

    /** Submits a workflow to an open queue; returns the reply. */
    private CellReply submit(WorkflowDraft draft) {
        submitted++;
        RequestHandle handle = cell.request(new SubmitWorkflowRequest(target(submitted), draft));
        cell.run(20);
        return cell.replies.get(handle);
    }

    /** Submits until a workflow is refused; returns the accepted ones. */
    private List<Integer> fill(Kind kind) {
        List<Integer> accepted = new ArrayList<>();
        while (accepted.size() < MOST && submit(draft(kind)) instanceof Done) {
            accepted.add(submitted);
        }
        return accepted;
    }

    private boolean isKnown(int number) {
        RequestHandle read = cell.request(new ReadWorkflow(target(number)));
        cell.run(10);
        return cell.replies.get(read) instanceof WorkflowAnswer;
    }

    @ParameterizedTest
    @EnumSource(Kind.class)
    void whatCannotBeHeldIsRefusedAndWhatWasAcceptedIsServed(Kind kind) {
        List<Integer> accepted = fill(kind);

        assertThat(accepted).hasSizeBetween(5, MOST - 1);
        assertThat(cell.ledger.held().totalBytes()).isLessThanOrEqualTo(LIMIT);
        assertThat(accepted).allMatch(this::isKnown);
        assertThat(isKnown(submitted)).isFalse();
        cell.restartFromSnapshot();
        cell.run(500);
        assertThat(accepted).allMatch(this::isKnown);
    }

    /** Later and lasting work must not take the room of what is done at once. */
    @ParameterizedTest
    @EnumSource(
            value = Kind.class,
            names = {"TIMED", "LASTING"})
    void ordinaryWorkIsAcceptedWhileLastingWorkHasNoRoom(Kind kind) {
        fill(kind);
        assertThat(submit(TestFleet.draft(1, 100))).isEqualTo(new Done());
    }

    @Test
    void refusedWorkflowHasRoomAfterThePause() {
        List<Integer> accepted = fill(Kind.HOPELESS_WITH_LARGE_PAYLOAD);
        accepted.forEach(number -> cell.request(new CancelWorkflowRequest(target(number))));
        cell.run(5_000);
        fill(Kind.TIMED);
        CellReply refused = submit(draft(Kind.TIMED));
        long pause = ((Refused) refused).refusal().retryAfterMilliseconds().orElseThrow();
        assertThat(pause).isBetween(1L, RETENTION_MILLISECONDS);
        cell.run(pause + 1_000);
        assertThat(submit(draft(Kind.TIMED_SINGLE_TASK))).isEqualTo(new Done());
    }

    /** The replica that can hold least decides, whichever leads. */
    @Test
    void smallestReplicaDecides() {
        cell.request(new ReportHeldLimit(new VmId("small"), LIMIT / 4));
        cell.run(100);
        cell.changeLeader();
        int held = fill(Kind.TIMED).size();
        assertThat(held).isPositive();
        assertThat(cell.ledger.held().totalBytes()).isLessThanOrEqualTo(LIMIT / 4);
        cell.restartFromSnapshot();
        cell.run(100);
        assertThat(submit(draft(Kind.TIMED))).isInstanceOf(Refused.class);

        cell.run(601_000);
        assertThat(submit(draft(Kind.TIMED))).isEqualTo(new Done());
    }

    /** All replicas decide alike from the log, whatever they could hold themselves. */
    @Test
    void submissionBeyondTheLimitOfItsCommandIsRejectedWhenItIsApplied() {
        Workflow workflow =
                new Workflow(
                        new JobId("fedcba9876543210"),
                        new QueueName("open"),
                        Optional.empty(),
                        "payload",
                        draft(Kind.HOPELESS).steps(),
                        Optional.empty(),
                        0);
        long bytes = WorkflowEntry.heldBytes(workflow);
        CommandResult beyond = cell.ledger.apply(new SubmitWorkflow(workflow, bytes - 1));
        assertThat(beyond).isInstanceOf(CommandResult.Rejected.class);
        assertThat(cell.ledger.held().totalBytes()).isZero();
        assertThat(cell.ledger.apply(new SubmitWorkflow(workflow, bytes)))
                .isEqualTo(new CommandResult.Accepted());
        assertThat(cell.ledger.held().totalBytes()).isEqualTo(bytes);
    }
}
