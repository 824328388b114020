package org.marjoramnotch.logic.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramnotch.logic.job.JobSettings;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.logic.placement.PlacementSettings;
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
    private static final CellReply NO_LEADER = NotLeader.notProcessed(Optional.empty());

    private final ScriptedLog log = new ScriptedLog();
    private final CellCore core =
            new CellCore(
                    new CellSettings(100),
                    log,
                    new ReferenceCodec(),
                    new StandardLeaderDutyFactory(
                            PlacementSettings.defaults(),
                            JobSettings.defaults(),
                            RandomSource.XO_RO_SHI_RO_128_PP.create(1)));

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
        assertThat(replies()).containsExactly(new OutgoingReply(FIRST, LEADER_NO_LONGER));
        assertThat(core.ledger().configurationVersion()).isEqualTo(1);
    }

    @Test
    void refusedProposalEndsTheDutiesAndAnswersWaitingRequests() {
        log.refusing = true;
        core.request(1, FIRST, CHANGE);
        assertThat(replies()).containsExactly(new OutgoingReply(FIRST, LEADER_NO_LONGER));
    }

    @Test
    void leaderThatRegainsLeaseDecidesOnlyOnceEarlierProposalsAreApplied() {
        core.request(1, FIRST, CHANGE);
        log.ready = false;
        core.tick(2);
        log.ready = true;
        core.request(3, SECOND, new ReadRules());
        assertThat(replies())
                .containsExactly(
                        new OutgoingReply(FIRST, LEADER_NO_LONGER),
                        new OutgoingReply(SECOND, NO_LEADER));
        log.commitAll();
        core.tick(4);
        core.request(5, SECOND, new ReadRules());
        assertThat(replies())
                .extracting(OutgoingReply::reply)
                .containsExactly(new RulesAnswer(1, "team wards share 1 limit 1 # ward office\n"));
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
        assertThat(replies()).containsExactly(new OutgoingReply(FIRST, LEADER_NO_LONGER));
    }

    @Test
    void membersAreLoggedOnceWhenTheyChange() {
        core.tick(50);
        assertThat(core.takeEffects().decisionLog())
                .extracting(DecisionLogEntry::event)
                .filteredOn("group_members_changed"::equals)
                .hasSize(1);
    }

    private List<OutgoingReply> replies() {
        return core.takeEffects().replies();
    }
}
