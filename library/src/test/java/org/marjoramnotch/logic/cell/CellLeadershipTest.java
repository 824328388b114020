package org.marjoramnotch.logic.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.identifier.RequestId;
import org.marjoramnotch.model.message.ApplyRules;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.NotLeader;
import org.marjoramnotch.model.message.ReadRules;
import org.marjoramnotch.model.message.RulesAnswer;

class CellLeadershipTest {
    private static final ApplyRules CHANGE =
            new ApplyRules(new RequestId("r"), 0, "team wards share 1 limit 1 # ward office\n");
    private static final RequestHandle FIRST = new RequestHandle("link", 1);
    private static final RequestHandle SECOND = new RequestHandle("link", 2);
    private static final CellReply LEADER_NO_LONGER = new NotLeader(Optional.empty(), true);
    private static final CellReply CHANGED =
            new RulesAnswer(1, "team wards share 1 limit 1 # ward office\n");
    private static final CellReply NO_LEADER = NotLeader.notProcessed(Optional.empty());

    private final ScriptedLog log = new ScriptedLog();
    private final CellCore core = log.newCore();

    @BeforeEach
    void lead() {
        core.tick(0);
    }

    @Test
    void entryAppliedAfterTheLeaseIsNotAnsweredByDuties() {
        core.request(1, FIRST, CHANGE);
        log.ready = false;
        log.commitAll();
        core.tick(2);
        assertThat(replies(2)).containsExactly(new OutgoingReply(FIRST, LEADER_NO_LONGER));
        assertThat(core.ledger().configurationVersion()).isEqualTo(1);
    }

    @Test
    void refusedProposalEndsTheDutiesAndAnswersWaitingRequests() {
        log.refusing = true;
        core.request(1, FIRST, CHANGE);
        assertThat(replies(1)).containsExactly(new OutgoingReply(FIRST, LEADER_NO_LONGER));
    }

    @Test
    void leaderThatRegainsLeaseDecidesOnlyOnceEarlierProposalsAreApplied() {
        core.request(1, FIRST, CHANGE);
        log.ready = false;
        core.tick(2);
        log.ready = true;
        core.request(3, SECOND, new ReadRules());
        assertThat(replies(3))
                .containsExactly(
                        new OutgoingReply(FIRST, LEADER_NO_LONGER),
                        new OutgoingReply(SECOND, NO_LEADER));
        log.commitAll();
        core.tick(4);
        core.request(5, SECOND, new ReadRules());
        assertThat(replies(5)).extracting(OutgoingReply::reply).containsExactly(CHANGED);
    }

    @Test
    void resignedCoreAnswersWaitingRequestsAndStoresNothing() {
        core.request(1, FIRST, CHANGE);
        CellEffects effects = core.resign(2);
        assertThat(effects.writes()).isEmpty();
        assertThat(effects.calls()).isEmpty();
        assertThat(effects.replies()).containsExactly(new OutgoingReply(FIRST, LEADER_NO_LONGER));
    }

    @Test
    void decisionsEndIfTheLeaseExpiredDuringSync() {
        core.request(1, FIRST, CHANGE);
        assertThat(core.mayDecide(2)).isTrue();
        log.ready = false;
        assertThat(core.mayDecide(3)).isFalse();
        assertThat(replies(3)).containsExactly(new OutgoingReply(FIRST, LEADER_NO_LONGER));
    }

    @Test
    void decisionsAreHeldWhileOnlyTheLeaseHasLapsed() {
        core.request(1, FIRST, CHANGE);
        log.leaseLapsed = true;
        log.commitAll();
        core.tick(2);
        CellEffects lapsed = effects(2);
        log.leaseLapsed = false;
        core.tick(3);
        CellEffects regained = effects(3);
        assertThat(lapsed.replies()).isEmpty();
        assertThat(events(lapsed)).contains("leader_lease_lapsed");
        assertThat(regained.replies()).containsExactly(new OutgoingReply(FIRST, CHANGED));
        assertThat(events(regained)).containsExactly("leader_lease_regained");
    }

    @Test
    void requestDuringLapseIsRefusedAsNotProcessed() {
        log.leaseLapsed = true;
        core.request(1, FIRST, CHANGE);
        assertThat(replies(1)).containsExactly(new OutgoingReply(FIRST, NO_LEADER));
        assertThat(log.proposals).isEmpty();
    }

    @Test
    void decisionsOfLapseAreNotSentOnceLeadershipIsLost() {
        core.request(1, FIRST, CHANGE);
        log.leaseLapsed = true;
        log.commitAll();
        core.tick(2);
        log.ready = false;
        core.tick(3);
        assertThat(replies(3)).containsExactly(new OutgoingReply(FIRST, LEADER_NO_LONGER));
    }

    @Test
    void dutiesEndIfTheLeaseIsNotRegainedForLong() {
        core.request(1, FIRST, CHANGE);
        log.leaseLapsed = true;
        core.tick(2);
        core.tick(2_001);
        assertThat(replies(2_001)).isEmpty();
        core.tick(2_002);
        assertThat(replies(2_002)).containsExactly(new OutgoingReply(FIRST, LEADER_NO_LONGER));
    }

    @Test
    void decisionsTakenBeforeSlowSyncAreHeldUntilTheLeaseIsRegained() {
        core.request(1, FIRST, CHANGE);
        log.commitAll();
        core.tick(2);
        CellEffects taken = effects(2);
        log.leaseLapsed = true;
        assertThat(core.mayDecide(3)).isFalse();
        assertThat(core.holdBack(taken)).isTrue();
        assertThat(replies(4)).isEmpty();
        log.leaseLapsed = false;
        assertThat(replies(5)).containsExactly(new OutgoingReply(FIRST, CHANGED));
    }

    @Test
    void decisionsTakenBeforeSlowSyncAreNotHeldOnceLeadershipIsLost() {
        core.request(1, FIRST, CHANGE);
        log.commitAll();
        core.tick(2);
        CellEffects taken = effects(2);
        log.ready = false;
        assertThat(core.mayDecide(3)).isFalse();
        assertThat(core.holdBack(taken)).isFalse();
    }

    @Test
    void readIsAnsweredOnceLeadershipIsConfirmedAfterItArrived() {
        log.confirmedMark = 0;
        core.request(1, FIRST, new ReadRules());
        assertThat(replies(2)).isEmpty();
        log.confirmedMark = 1;
        assertThat(replies(3)).extracting(OutgoingReply::handle).containsExactly(FIRST);
    }

    @Test
    void unconfirmedReadIsRefusedOnceLeadershipIsLost() {
        log.confirmedMark = 0;
        core.request(1, FIRST, new ReadRules());
        log.ready = false;
        core.tick(2);
        assertThat(replies(2)).containsExactly(new OutgoingReply(FIRST, LEADER_NO_LONGER));
    }

    @Test
    void membersAreLoggedOnceWhenTheyChange() {
        core.tick(50);
        assertThat(events(effects(50))).filteredOn("group_members_changed"::equals).hasSize(1);
    }

    private CellEffects effects(long nowMilliseconds) {
        core.endBatch(nowMilliseconds);
        return core.takeEffects(nowMilliseconds);
    }

    private List<OutgoingReply> replies(long nowMilliseconds) {
        return effects(nowMilliseconds).replies();
    }

    private static List<String> events(CellEffects effects) {
        return effects.decisionLog().stream().map(DecisionLogEntry::event).toList();
    }
}
