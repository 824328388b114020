package org.marjoramnotch.logic.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.endpoint.EndpointState;
import org.marjoramnotch.model.endpoint.SlotKind;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.ExecutionOutcome;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.Done;
import org.marjoramnotch.model.message.Granted;
import org.marjoramnotch.model.message.PlaceRequest;
import org.marjoramnotch.model.message.Refused;

class PlacementDutyTest {
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
    void waitingRequestIsGrantedWhenSlotIsReleased() {
        startEndpoint(1);
        assertThat(replyType(place("big", 1))).contains(Granted.class);
        RequestHandle second = place("big", 2);
        assertThat(replyType(second)).isEmpty();

        assertThat(replyType(cell.send(TestCell.end(1, ExecutionOutcome.RAN))))
                .contains(Done.class);

        assertThat(replyType(second)).contains(Granted.class);
    }

    @ParameterizedTest
    @CsvSource({
        "checks, big, REQUEST, 30000, OVERLOADED",
        "checks, big, FEED, 30000, WRONG_QUEUE_POLICY",
        "notices, big, REQUEST, 30000, WRONG_QUEUE_POLICY",
        "none, big, REQUEST, 30000, UNKNOWN_QUEUE",
        "checks, stranger, REQUEST, 30000, KEY_REFUSED",
        "checks, small, REQUEST, 0, DEADLINE_EXCEEDED",
    })
    void refusesImmediatelyWithOutcomeNotRun(
            String queue, String team, SlotKind kind, long wait, ErrorCode expected) {
        TestCell full =
                new TestCell(configuration, PlacementSettings.builder().queueCapacity(1).build());
        full.announce(TestCell.endpoint("e1", "i1", 1), EndpointState.ACTIVE);
        full.send(TestCell.request("big", 1, WAIT));
        full.send(TestCell.request("big", 2, WAIT));
        PlaceRequest request =
                new PlaceRequest(
                        TestCell.attempt(3),
                        Optional.of(TestConfiguration.credential(team)),
                        new QueueName(queue),
                        kind,
                        false,
                        wait,
                        TestCell.ZONE,
                        Optional.empty(),
                        List.of());

        RequestHandle handle = full.send(request);

        Refused refused = (Refused) full.answer(handle).orElseThrow();
        assertThat(refused.refusal().code()).isEqualTo(expected);
        assertThat(refused.refusal().outcome()).isEqualTo(ExecutionOutcome.NOT_RUN);
    }

    @Test
    void refusesWithoutEndpointAndAfterLeaseHasExpired() {
        assertThat(code(place("big", 1))).isEqualTo(ErrorCode.NO_ENDPOINT);
        startEndpoint(1);
        cell.advance(3_100);
        assertThat(code(place("big", 2))).isEqualTo(ErrorCode.NO_ENDPOINT);
        cell.advance(60_100);
        assertThat(cell.state.endpoints()).isEmpty();
    }

    @Test
    void refusesImmediatelyIfExpectedWaitExceedsDeadline() {
        startEndpoint(1);
        for (int sequence = 0; sequence < 40; sequence++) {
            place("big", sequence);
            cell.send(TestCell.end(sequence, ExecutionOutcome.RAN));
        }
        for (int sequence = 100; sequence < 120; sequence++) {
            place("big", sequence);
        }

        assertThat(code(cell.send(TestCell.request("big", 120, 1_000))))
                .isEqualTo(ErrorCode.DEADLINE_EXCEEDED);
        assertThat(replyType(cell.send(TestCell.request("big", 121, 10_000)))).isEmpty();
        assertThat(replyType(cell.send(TestCell.request("small", 122, 1_000)))).isEmpty();
    }

    @Test
    void releasesSlotReservedAfterDeadline() {
        startEndpoint(1);
        cell.commitMilliseconds = 500;
        RequestHandle handle = cell.send(TestCell.request("big", 1, 100));
        cell.advance(400);
        assertThat(replyType(handle)).isEmpty();
        cell.advance(200);
        assertThat(cell.usage.total()).isEqualTo(1);
        cell.advance(500);
        assertThat(code(handle)).isEqualTo(ErrorCode.DEADLINE_EXCEEDED);
        assertThat(cell.usage.total()).isZero();
    }

    @Test
    void resentRequestReceivesTheReplyAndOpenAttemptIsGrantedAgain() {
        startEndpoint(1);
        RequestHandle first = place("big", 1);
        assertThat(cell.answer(place("big", 1))).isEqualTo(cell.answer(first));
        RequestHandle lost = place("big", 2);
        RequestHandle resent = place("big", 2);

        cell.send(TestCell.end(1, ExecutionOutcome.RAN));

        assertThat(replyType(lost)).isEmpty();
        assertThat(replyType(resent)).contains(Granted.class);
    }

    @Test
    void endedAttemptIsRemovedFromQueueAndItsReservationReleased() {
        startEndpoint(1);
        place("big", 1);
        RequestHandle queued = place("big", 2);
        assertThat(replyType(cell.send(TestCell.end(2, ExecutionOutcome.NOT_RUN))))
                .contains(Done.class);
        assertThat(replyType(queued)).contains(Refused.class);
        cell.commitMilliseconds = 100;
        cell.send(TestCell.end(1, ExecutionOutcome.RAN));
        RequestHandle inLog = place("big", 3);
        cell.advance(60);
        assertThat(replyType(inLog)).isEmpty();
        cell.send(TestCell.end(3, ExecutionOutcome.NOT_RUN));
        cell.advance(300);

        assertThat(replyType(inLog)).contains(Refused.class);
        assertThat(cell.usage.total()).isZero();
        assertThat(code(place("big", 2))).isEqualTo(ErrorCode.STALE_EPOCH);
    }

    @Test
    void leavingEndpointGetsNoRequestsBeforeItsAnnouncementIsCommitted() {
        startEndpoint(8);
        cell.commitMilliseconds = 1_000;
        cell.announce(TestCell.endpoint("e1", "i1", 8), EndpointState.LEAVING);

        assertThat(code(place("big", 1))).isEqualTo(ErrorCode.NO_ENDPOINT);
    }

    @Test
    void backloggedTeamsHoldTheirSharesAndUrgentRequestIsServedFirst() {
        startEndpoint(8);
        List<RequestHandle> urgent = new ArrayList<>();
        for (int sequence = 0; sequence < 40; sequence++) {
            place("big", sequence);
        }
        for (int sequence = 100; sequence < 140; sequence++) {
            place("small", sequence);
        }
        urgent.add(
                cell.send(
                        TestCell.request(
                                "small", TestCell.attempt(200), SlotKind.REQUEST, true, WAIT)));

        for (int sequence = 0; sequence < 8; sequence++) {
            cell.send(TestCell.end(sequence, ExecutionOutcome.RAN));
        }

        SlotPoolId pool = new SlotPoolId(TestConfiguration.SERVICE, SlotKind.REQUEST);
        assertThat(cell.state.inUse(pool, new TeamName("big"))).isEqualTo(6);
        assertThat(cell.state.inUse(pool, new TeamName("small"))).isEqualTo(2);
        assertThat(replyType(urgent.get(0))).contains(Granted.class);
    }

    @Test
    void teamAtItsLimitDoesNotBlockOthers() {
        startEndpoint(8);
        configuration.team("big", 3, 2);
        place("big", 1);
        place("big", 2);
        RequestHandle third = place("big", 3);
        assertThat(replyType(third)).isEmpty();
        assertThat(replyType(place("small", 4))).contains(Granted.class);
        configuration.team("big", 3, 3);
        cell.advance(20);
        assertThat(replyType(third)).contains(Granted.class);
    }
}
