package org.marjoramnotch.logic.placement;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.endpoint.EndpointState;
import org.marjoramnotch.model.error.ExecutionOutcome;
import org.marjoramnotch.model.identifier.EndpointId;
import org.marjoramnotch.model.message.ForgetEndpointRequest;
import org.marjoramnotch.model.message.Granted;
import org.marjoramnotch.model.message.Refused;

class ForgetEndpointHandlerTest {
    private static final long WAIT = 30_000;
    private static final long LEASE = 3_000;
    private static final long COMMIT = 100;

    private final TestCell cell =
            TestCell.create(new TestConfiguration().team("big", 1, 1).team("small", 1, 1));

    @BeforeEach
    void useUpTheLimitOfOneTeam() {
        announce("e1", "i1");
        assertThat(replyName(cell.send(TestCell.request("big", 1, WAIT)))).isEqualTo("Granted");
    }

    @Test
    void endpointIsRemovedOnlyAfterItsLeaseHasExpired() {
        cell.advance(LEASE - 20);
        assertThat(replyName(forget("e1"))).isEqualTo("ENDPOINT_ALIVE");
        assertThat(replyName(forget("e2"))).isEqualTo("Done");
        cell.newLeader(0);
        cell.advance(LEASE - 20);
        assertThat(replyName(forget("e1"))).isEqualTo("ENDPOINT_ALIVE");
        assertThat(cell.usage.total()).isEqualTo(1);

        cell.advance(20);

        assertThat(replyName(forget("e1"))).isEqualTo("Done");
        assertThat(replyName(forget("e1"))).isEqualTo("Done");
        assertThat(cell.usage.total()).isZero();
        assertThat(cell.state.endpoints()).isEmpty();
    }

    @Test
    void removalAnswersPendingEndReportAndFreesTheTeamLimit() {
        RequestHandle end = cell.send(TestCell.end(1, ExecutionOutcome.UNKNOWN));
        RequestHandle next = cell.send(TestCell.request("big", 2, WAIT));
        cell.advance(LEASE);
        announce("e2", "i1");
        cell.advance(20);
        assertThat(cell.answer(end)).isEmpty();
        assertThat(cell.answer(next)).isEmpty();

        forget("e1");
        cell.advance(20);

        assertThat(replyName(end)).isEqualTo("Done");
        assertThat(cell.answer(next))
                .get()
                .isInstanceOfSatisfying(
                        Granted.class,
                        granted -> assertThat(granted.endpoint().value()).isEqualTo("e2"));
    }

    @Test
    void removedIncarnationIsRefusedAndNewIncarnationIsAccepted() {
        cell.advance(LEASE);
        cell.commitMilliseconds = COMMIT;
        RequestHandle first = forget("e1");
        RequestHandle second = forget("e1");
        assertThat(replyName(announce("e1", "i1"))).isEqualTo("STALE_EPOCH");
        RequestHandle restarted = announce("e1", "i2");
        cell.advance(COMMIT);

        assertThat(replyName(first)).isEqualTo("Done");
        assertThat(replyName(second)).isEqualTo("Done");
        assertThat(replyName(restarted)).isEqualTo("EndpointRenewed");
        assertThat(replyName(announce("e1", "i1"))).isEqualTo("STALE_EPOCH");
        assertThat(cell.usage.total()).isZero();
    }

    @Test
    void endpointWithUncommittedAnnouncementIsNotRemoved() {
        cell.advance(LEASE);
        cell.commitMilliseconds = COMMIT;
        announce("e1", "i2");

        assertThat(replyName(forget("e1"))).isEqualTo("ENDPOINT_ALIVE");
    }

    @Test
    void slotWithUncommittedReleaseIsReleasedOnlyOnce() {
        cell.advance(LEASE);
        cell.commitMilliseconds = COMMIT;
        RequestHandle forgotten = forget("e1");
        RequestHandle end = cell.send(TestCell.end(1, ExecutionOutcome.RAN));
        cell.advance(COMMIT);
        announce("e1", "i2");
        cell.advance(COMMIT);
        RequestHandle next = cell.send(TestCell.request("big", 2, WAIT));
        cell.advance(COMMIT);

        assertThat(replyName(forgotten)).isEqualTo("Done");
        assertThat(replyName(end)).isEqualTo("Done");
        assertThat(replyName(next)).isEqualTo("Granted");
        assertThat(cell.usage.total()).isEqualTo(1);
    }

    private RequestHandle announce(String endpoint, String incarnation) {
        return cell.announce(TestCell.endpoint(endpoint, incarnation, 1), EndpointState.ACTIVE);
    }

    private RequestHandle forget(String endpoint) {
        return cell.send(new ForgetEndpointRequest(new EndpointId(endpoint)));
    }

    private String replyName(RequestHandle handle) {
        return cell.answer(handle)
                .map(
                        reply ->
                                reply instanceof Refused refused
                                        ? refused.refusal().code().name()
                                        : reply.getClass().getSimpleName())
                .orElse("nothing");
    }
}
