package org.marjoramnotch.logic.evacuation;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramnotch.model.command.BeginEvacuation;
import org.marjoramnotch.model.command.EnrollWorker;
import org.marjoramnotch.model.command.FinishEvacuation;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.StepId;
import org.marjoramnotch.model.workflow.WorkflowTaskId;

class EvacuationRulesTest {
    private static final AvailabilityZone ZONE = new AvailabilityZone("zone-a");
    private static final AvailabilityZone OTHER = new AvailabilityZone("zone-b");
    private static final long FINISHED = 1_700_000_000_000L;

    private static final FleetWorker WORKER =
            new FleetWorker(
                    new WorkerIncarnation(new WorkerId("w-1"), 1),
                    new ServiceName("pool"),
                    "10.0.0.1:80",
                    ZONE,
                    Resources.NONE,
                    List.of(),
                    false);

    private final Evacuations evacuations = new Evacuations();

    /** Guards against a misspelled zone that is confirmed, and a right one that is refused. */
    @ParameterizedTest
    @CsvSource({
        "false, false, NO_LEADER",
        "true, false, INVALID_REQUEST",
        "false, true, INVALID_REQUEST"
    })
    void unknownZoneIsRefused(boolean listed, boolean enrolled, ErrorCode code) {
        ZoneCheck check = new ZoneCheck(listed ? List.of(ZONE) : List.of(), evacuations);
        if (enrolled) {
            evacuations.apply(new EnrollWorker(WORKER));
        }
        MarjoramnotchException refusal =
                catchThrowableOfType(MarjoramnotchException.class, () -> check.requireKnown(OTHER));
        assertThat(refusal.code()).isEqualTo(code);
        if (listed || enrolled) {
            check.requireKnown(ZONE);
            assertThat(refusal).hasMessageContaining(ZONE.value());
        }
    }

    /** Guards against a repeated order that is refused once the settings no longer list a zone. */
    @Test
    void zoneOfAcceptedOrderRemainsKnown() {
        evacuations.apply(new FinishEvacuation(ZONE, FINISHED));
        evacuations.apply(new BeginEvacuation(OTHER, FINISHED));
        Evacuations restored = new Evacuations();
        restored.restore(evacuations.snapshot(), List.of());
        ZoneCheck check = new ZoneCheck(List.of(), restored);
        check.requireKnown(ZONE);
        check.requireKnown(OTHER);
        assertThat(restored.snapshot()).isEqualTo(evacuations.snapshot());
    }

    /** Guards against a second absent task, also if the stop of an earlier leader is under way. */
    @ParameterizedTest
    @CsvSource({
        "1, true, 2000, true",
        "3, true, 9000, true",
        "1, true, 1999, false",
        "1, false, 2000, false",
        "0, true, 2000, false"
    })
    void standingTaskMovesWhileTheOthersAreAtWork(
            int mostAbsent, boolean otherAtWork, long leaderTime, boolean moves) {
        RunId run = new RunId(new WorkflowTaskId(new StepId(new JobId("a"), 0, 0), 1), 1);
        List<StandingTaskMoves.Task> tasks =
                List.of(
                        new StandingTaskMoves.Task(Optional.empty(), otherAtWork, false),
                        new StandingTaskMoves.Task(Optional.of(run), true, true));
        StandingTaskMoves rule = new StandingTaskMoves(0);
        assertThat(rule.mayMove(leaderTime) && rule.next(mostAbsent, tasks).isPresent())
                .isEqualTo(moves);
    }

    /** Guards against new leaders that forget cold zones, also if their time of day is behind. */
    @ParameterizedTest
    @CsvSource({
        "0, 4999, true",
        "0, 5000, false",
        "3000, 1999, true",
        "3000, 2000, false",
        "-60000, 4999, true",
        "-60000, 5000, false",
        "60000, 0, false"
    })
    void zoneIsColdForSomeTimeAfterItsEvacuation(
            long epochSinceEnd, long leaderTime, boolean cold) {
        evacuations.apply(new BeginEvacuation(ZONE, FINISHED - 10_000));
        evacuations.apply(new FinishEvacuation(ZONE, FINISHED));
        evacuations.apply(new FinishEvacuation(ZONE, FINISHED + 4_000));
        ColdZones zones = new ColdZones(evacuations, 0, FINISHED + epochSinceEnd);
        assertThat(zones.isCold(leaderTime, ZONE)).isEqualTo(cold);
        assertThat(zones.isCold(leaderTime, OTHER)).isFalse();
    }
}
