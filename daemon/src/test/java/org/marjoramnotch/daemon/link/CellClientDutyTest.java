package org.marjoramnotch.daemon.link;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.FieldSource;
import org.marjoramnotch.daemon.metrics.CountedEvent;
import org.marjoramnotch.daemon.metrics.DaemonMetrics;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.ExecutionOutcome;
import org.marjoramnotch.model.error.Refusal;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.message.CallTarget;
import org.marjoramnotch.model.message.CancelJobRequest;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.CellRequest;
import org.marjoramnotch.model.message.Done;
import org.marjoramnotch.model.message.NotLeader;
import org.marjoramnotch.model.message.ReadRules;
import org.marjoramnotch.model.message.Refused;
import org.marjoramnotch.model.message.SubmitWorkflowRequest;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.WorkflowDraft;

class CellClientDutyTest {
    private static final VmId ONE = new VmId("vm-1");
    private static final VmId TWO = new VmId("vm-2");
    private static final VmId THREE = new VmId("vm-3");
    private static final CellRequest CANCEL =
            new CancelJobRequest(Optional.empty(), new JobId("job-1"));
    private static final CellRequest SUBMIT =
            new SubmitWorkflowRequest(
                    CallTarget.of(new QueueName("quick"), "0123456789abcdef", Optional.empty()),
                    new WorkflowDraft(
                            "", List.of(StepDefinition.builder().build()), Optional.empty()));
    private static final CellReply DONE = new Done();
    private static final CellReply BUSY =
            new Refused(Refusal.notRun(ErrorCode.OVERLOADED, "Full."));

    static final List<Arguments> DEADLINES =
            List.of(
                    Arguments.of(new ReadRules(), true, ExecutionOutcome.NOT_RUN),
                    Arguments.of(CANCEL, true, ExecutionOutcome.UNKNOWN),
                    Arguments.of(CANCEL, false, ExecutionOutcome.NOT_RUN));

    private final List<Sent> sent = new ArrayList<>();
    private final Set<VmId> down = new HashSet<>();
    private final DaemonMetrics metrics = new DaemonMetrics();
    private final CellClientDuty duty =
            new CellClientDuty(
                    List.of(ONE, TWO, THREE), this::transport, metrics, 2, Optional.empty());

    @Test
    void hintIsFollowedAndTheLeaderIsRemembered() {
        CompletableFuture<CellReply> first = submit(0, CANCEL);
        reply(1, NotLeader.notProcessed(Optional.of(THREE)));
        reply(2, DONE);
        submit(3, CANCEL);

        assertThat(sent.stream().map(Sent::to)).containsExactly(ONE, THREE, THREE);
        assertThat(first).isCompletedWithValue(DONE);
    }

    @Test
    void requestOfLostLinkGoesToTheNextReplica() {
        CompletableFuture<CellReply> result = submit(0, CANCEL);
        duty.receive(5, new ClientInput.LinkLost(ONE));
        reply(6, DONE);

        assertThat(sent.stream().map(Sent::to)).containsExactly(ONE, TWO);
        assertThat(result).isCompletedWithValue(DONE);
    }

    @Test
    void silentReplicaIsSkippedAndItsLateReplyStillCounts() {
        CompletableFuture<CellReply> result = submit(0, CANCEL, 10_000);
        duty.tick(2_000);
        assertThat(sent.stream().map(Sent::to)).containsExactly(ONE, TWO);

        duty.receive(2_001, new ClientInput.Reply(ONE, sent.get(0).correlation(), DONE));
        reply(2_002, DONE);

        assertThat(result).isCompletedWithValue(DONE);
        assertThat(metrics.countOf(CountedEvent.ANSWER_DISCARDED)).isEqualTo(1);
    }

    @Test
    void downLinksAreRetried() {
        down.addAll(List.of(ONE, TWO, THREE));
        CompletableFuture<CellReply> result = submit(0, CANCEL);
        down.remove(TWO);
        duty.tick(50);
        reply(51, DONE);

        assertThat(sent.stream().map(Sent::to)).containsExactly(TWO);
        assertThat(result).isCompletedWithValue(DONE);
    }

    @Test
    void busyReplicaRefusesOnlyRequestsThatNoOtherCanHaveAccepted() {
        CompletableFuture<CellReply> once = submit(0, CANCEL);
        reply(1, BUSY);
        CompletableFuture<CellReply> resent = submit(2, CANCEL);
        duty.receive(3, new ClientInput.LinkLost(ONE));
        reply(4, BUSY);

        assertThat(once).isCompletedWithValue(BUSY);
        assertThat(resent).isNotDone();
        duty.tick(60);
        reply(61, DONE);
        assertThat(resent).isCompletedWithValue(DONE);
    }

    @ParameterizedTest
    @FieldSource("DEADLINES")
    void refusalAtDeadlineTellsWhetherRequestMayHaveRun(
            CellRequest request, boolean linkUp, ExecutionOutcome outcome) {
        if (!linkUp) {
            down.addAll(List.of(ONE, TWO, THREE));
        }
        CompletableFuture<CellReply> result = submit(0, request);
        duty.tick(999);
        assertThat(result).isNotDone();
        duty.tick(1_000);

        Refusal refusal = ((Refused) result.join()).refusal();
        assertThat(refusal.code()).isEqualTo(ErrorCode.NO_LEADER);
        assertThat(refusal.outcome()).isEqualTo(outcome);
    }

    /** A submission that was received only by replicas that do not lead cannot run later. */
    @ParameterizedTest
    @CsvSource({"false, NOT_RUN", "true, UNKNOWN"})
    void submissionIsUnknownOnlyIfSomeLeaderMayHaveAcceptedIt(
            boolean mayHaveEffect, ExecutionOutcome outcome) {
        CompletableFuture<CellReply> result = submit(0, SUBMIT);
        for (long now = 10; now < 1_000; now += 100) {
            reply(now, new NotLeader(Optional.empty(), mayHaveEffect));
            duty.tick(now + 60);
        }
        reply(999, new NotLeader(Optional.empty(), mayHaveEffect));
        duty.tick(1_000);

        assertThat(((Refused) result.join()).refusal().outcome()).isEqualTo(outcome);
    }

    /**
     * Guards against callers that wait until their deadlines although no leader can answer: all
     * replicas are down for seconds while new requests arrive.
     */
    @Test
    void callersAreRefusedAtOnceWhileNoLeaderIsFound() {
        down.addAll(List.of(ONE, TWO, THREE));
        submit(0, CANCEL, 10_000);
        CompletableFuture<CellReply> early = submit(1_299, SUBMIT, 10_000);
        assertThat(early).isNotDone();

        Refusal refusal = ((Refused) submit(1_300, SUBMIT, 10_000).join()).refusal();
        assertThat(refusal.code()).isEqualTo(ErrorCode.NO_LEADER);
        assertThat(refusal.outcome()).isEqualTo(ExecutionOutcome.NOT_RUN);

        down.clear();
        duty.tick(1_400);
        reply(1_401, DONE);
        assertThat(submit(1_402, SUBMIT, 10_000)).isNotDone();
    }

    @Test
    void tooManyRequestsAreRefused() {
        submit(0, CANCEL);
        submit(0, CANCEL);

        assertThat(submit(0, CANCEL)).isCompletedWithValue(CellClient.overloaded());
    }

    private CompletableFuture<CellReply> submit(long now, CellRequest request) {
        return submit(now, request, 1_000);
    }

    private CompletableFuture<CellReply> submit(long now, CellRequest request, long deadline) {
        CompletableFuture<CellReply> result = new CompletableFuture<>();
        duty.receive(now, new ClientInput.Submit(request, deadline, result));
        return result;
    }

    private void reply(long now, CellReply reply) {
        Sent last = sent.get(sent.size() - 1);
        duty.receive(now, new ClientInput.Reply(last.to(), last.correlation(), reply));
    }

    private boolean transport(VmId to, long correlation, CellRequest request) {
        return !down.contains(to) && sent.add(new Sent(to, correlation));
    }

    private record Sent(VmId to, long correlation) {}
}
