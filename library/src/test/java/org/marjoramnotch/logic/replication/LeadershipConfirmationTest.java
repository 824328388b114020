package org.marjoramnotch.logic.replication;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.replication.AppendAccepted;
import org.marjoramnotch.model.replication.LogEntry;
import org.marjoramnotch.model.replication.Membership;
import org.marjoramnotch.model.replication.VoteKind;
import org.marjoramnotch.model.replication.VoteReply;

class LeadershipConfirmationTest {
    private static final ReplicaId ONE = new ReplicaId(new VmId("vm-1"), "one");
    private static final ReplicaId TWO = new ReplicaId(new VmId("vm-2"), "two");
    private static final ReplicaId THREE = new ReplicaId(new VmId("vm-3"), "three");
    private static final Membership VOTERS = Membership.foundedBy(List.of(ONE, TWO, THREE));
    private static final long ELECTED_AT = 3_000;
    private static final long TERM = 2;

    private final Replica leader =
            new Replica(
                    ReplicaSettings.builder(ONE, Set.of(ONE.vm(), TWO.vm(), THREE.vm())).build(),
                    new RecoveredState(
                            new HardState(1, Optional.empty(), Optional.of(VOTERS.group())),
                            Optional.empty(),
                            List.of(LogEntry.membership(1, 1, VOTERS))),
                    RandomSource.JSF_64.create(7L),
                    0);

    @BeforeEach
    void elect() {
        leader.tick(ELECTED_AT);
        leader.receive(ELECTED_AT, TWO, new VoteReply(1, VoteKind.PRE_VOTE, TERM, true));
        leader.receive(ELECTED_AT, TWO, new VoteReply(TERM, VoteKind.ELECTION, TERM, true));
        leader.takeEffects();
    }

    @ParameterizedTest(name = "answer to a message sent at {0} ms")
    @CsvSource({"3000, false", "3001, true"})
    void answersToLaterMessagesConfirmLeadership(long sentAt, boolean confirmed) {
        long mark = leader.requestConfirmation(ELECTED_AT);
        leader.receive(3_500, TWO, new AppendAccepted(TERM, 2, sentAt));
        assertThat(leader.isConfirmed(mark)).isEqualTo(confirmed);
    }

    @ParameterizedTest(name = "answer to a message sent at {0} ms")
    @CsvSource({"3100, false", "3101, true"})
    void distrustedLeaseIsHeldAgainAfterAnswersToLaterMessages(long sentAt, boolean held) {
        leader.receive(3_050, TWO, new AppendAccepted(TERM, 2, 3_010));
        leader.takeEffects();
        assertThat(leader.isReady(3_100)).isTrue();
        leader.distrustLease(3_100);
        assertThat(leader.isReady(3_100)).isFalse();
        leader.receive(3_110, TWO, new AppendAccepted(TERM, 2, sentAt));
        assertThat(leader.isReady(3_110)).isEqualTo(held);
    }

    @Test
    void allMembersAreAskedOnceBeforeTheNextHeartbeat() {
        leader.requestConfirmation(ELECTED_AT);
        leader.tick(ELECTED_AT + 1);
        assertThat(leader.takeEffects().messages())
                .extracting(ReplicationEffects.Outgoing::to)
                .containsExactly(TWO, THREE);
        leader.tick(ELECTED_AT + 2);
        assertThat(leader.takeEffects().messages()).isEmpty();
    }
}
