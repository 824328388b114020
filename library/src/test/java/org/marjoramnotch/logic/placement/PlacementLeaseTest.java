package org.marjoramnotch.logic.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.endpoint.EndpointState;
import org.marjoramnotch.model.endpoint.SlotKind;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.ExecutionOutcome;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.Done;
import org.marjoramnotch.model.message.EndpointRenewed;
import org.marjoramnotch.model.message.EntryRenewed;
import org.marjoramnotch.model.message.Refused;

class PlacementLeaseTest {
    private static final long WAIT = 30_000;

    private final TestConfiguration configuration =
            new TestConfiguration().team("big", 3, 1_000).team("small", 1, 1_000);
    private final TestCell cell = TestCell.create(configuration);

    private void startEndpoint(int slots) {
        cell.announce(TestCell.endpoint("e1", "i1", slots), EndpointState.ACTIVE);
    }

    private RequestHandle place(String team, long sequence) {
        return cell.send(TestCell.request(team, sequence, WAIT));
    }

    private ErrorCode code(RequestHandle handle) {
        return ((Refused) cell.answer(handle).orElseThrow()).refusal().code();
    }

    private Optional<Class<?>> replyType(RequestHandle handle) {
        return cell.answer(handle).map(CellReply::getClass);
    }

    @Test
    void slotOfUnknownOutcomeIsReleasedOnlyAfterEndpointAbandonsAttempt() {
        startEndpoint(1);
        place("big", 1);
        RequestHandle end = cell.send(TestCell.end(1, ExecutionOutcome.UNKNOWN));
        cell.renewEntry("i1");
        assertThat(renew(List.of(1L), List.of())).containsExactly(1L);
        assertThat(renew(List.of(1L), List.of(1L))).containsExactly(1L);
        assertThat(replyType(end)).isEmpty();

        renew(List.of(), List.of(1L));

        assertThat(replyType(end)).contains(Done.class);
        assertThat(cell.usage.total()).isZero();
    }

    @Test
    void orphanedAttemptsAreReleasedOnlyByTheirEndpoint() {
        startEndpoint(1);
        place("big", 1);
        cell.renewEntry("i1");
        assertThat(renew(List.of(), List.of())).isEmpty();
        cell.newLeader(0);
        cell.advance(4_900);
        assertThat(renew(List.of(), List.of())).isEmpty();
        cell.advance(200);
        assertThat(renew(List.of(), List.of())).containsExactly(1L);
        cell.renewEntry("i1");
        assertThat(renew(List.of(), List.of())).isEmpty();
        cell.renewEntry("i2");
        assertThat(renew(List.of(), List.of())).containsExactly(1L);
        assertThat(cell.usage.total()).isEqualTo(1);

        cell.announce(TestCell.endpoint("e1", "i2", 1), EndpointState.ACTIVE);

        assertThat(cell.usage.total()).isZero();
        assertThat(code(cell.announce(TestCell.endpoint("e1", "i1", 1), EndpointState.ACTIVE)))
                .isEqualTo(ErrorCode.STALE_EPOCH);
    }

    private List<Long> renew(List<Long> running, List<Long> abandoned) {
        RequestHandle handle =
                cell.announce(
                        TestCell.endpoint("e1", "i1", 1),
                        EndpointState.ACTIVE,
                        running.stream().map(TestCell::attempt).toList(),
                        abandoned.stream().map(TestCell::attempt).toList());
        EndpointRenewed renewed = (EndpointRenewed) cell.answer(handle).orElseThrow();
        return renewed.abandon().stream().map(attempt -> attempt.sequence()).toList();
    }

    @Test
    void feedOfWithdrawnKeyIsRevoked() {
        startEndpoint(1);
        cell.send(TestCell.request("big", TestCell.attempt(1), SlotKind.FEED, false, WAIT));
        cell.send(TestCell.request("small", TestCell.attempt(2), SlotKind.FEED, false, WAIT));
        assertThat(revoked()).isEmpty();
        configuration.withdrawKey("big");
        assertThat(revoked()).isEqualTo(List.of(TestCell.attempt(1)));
        cell.send(TestCell.end(1, ExecutionOutcome.RAN));
        assertThat(revoked()).isEmpty();
    }

    private List<?> revoked() {
        return ((EntryRenewed) cell.answer(cell.renewEntry("i1")).orElseThrow()).revoked();
    }
}
