package org.marjoramnotch.logic.budget;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.TeamName;

class HeldStateAdmissionTest {
    private static final TeamName TEAM = new TeamName("one");
    private static final long LIMIT = 1_000;

    private final HeldState held = new HeldState();
    private final HeldStateAdmission admission = new HeldStateAdmission(held);

    private static HeldStateAdmission.Candidate candidate(
            Optional<TeamName> team, boolean lasting, long bytes) {
        return new HeldStateAdmission.Candidate(
                new JobId("0123456789abcdef"), team, lasting, bytes);
    }

    /** Others hold part of the limit of 1,000 bytes; the team holds more. */
    @ParameterizedTest
    @CsvSource({
        "899, 0, false, 100, 2, ",
        "901, 0, false, 100, 2, STATE",
        "600, 0, true, 100, 2, ",
        "601, 0, true, 100, 2, LASTING_STATE",
        "601, 0, false, 100, 2, ",
        "100, 400, false, 100, 2, ",
        "100, 401, false, 100, 2, TEAM_STATE",
        "100, 401, false, 100, 1, ",
        "100, 401, true, 300, 2, LASTING_STATE"
    })
    void workflowIsRefusedWhereItsPartIsFull(
            long others,
            long ofTeam,
            boolean lasting,
            long bytes,
            int teams,
            HeldStateAdmission.Cause cause) {
        held.change(Optional.empty(), others);
        held.change(Optional.of(TEAM), ofTeam);

        assertThat(
                        admission
                                .findRejection(
                                        candidate(Optional.of(TEAM), lasting, bytes), LIMIT, teams)
                                .map(HeldStateAdmission.Rejection::cause))
                .isEqualTo(Optional.ofNullable(cause));
    }

    @Test
    void workflowsThatAreBeingStoredCountUntilTheyAreSettled() {
        HeldStateAdmission.Candidate large = candidate(Optional.empty(), false, 950);
        HeldStateAdmission.Candidate small = candidate(Optional.of(TEAM), false, 100);
        admission.onProposed(large);
        assertThat(admission.findRejection(small, LIMIT, 2))
                .contains(
                        new HeldStateAdmission.Rejection(
                                HeldStateAdmission.Cause.STATE, 950, LIMIT, 100));
        admission.onSettled(large.id());
        assertThat(admission.findRejection(small, LIMIT, 2)).isEmpty();
    }

    @Test
    void countsReturnToNothing() {
        held.change(Optional.of(TEAM), 70);
        held.change(Optional.of(TEAM), -70);
        assertThat(held.totalBytes()).isZero();
        assertThat(held.bytesOf(TEAM)).isZero();
    }
}
