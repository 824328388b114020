package org.marjoramnotch.logic.share;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramnotch.model.identifier.TeamName;

class GuaranteedRateTest {
    private static final Optional<TeamName> TEAM = Optional.of(new TeamName("one"));

    /** Guards against a burst that takes the guaranteed part from a team's later submissions. */
    @ParameterizedTest(name = "weight {0}, {1} a second: {2} of 30 s are guaranteed")
    @CsvSource({"1, 1, 30", "3, 2, 60", "2, 20, 60", "0, 20, 30"})
    void guaranteesWeightSubmissionsPerSecond(long weight, int perSecond, int guaranteed) {
        GuaranteedRate rate = new GuaranteedRate();
        int inside = 0;
        long start = 1_000_000;
        for (int sent = 0; sent < 30 * perSecond; sent++) {
            long now = start + sent * 1_000L / perSecond;
            inside += rate.count(now, TEAM, weight) ? 1 : 0;
            rate.count(now, Optional.empty(), 1);
        }
        // A submission counts for at least 4.9 s; 30 s begin up to seven such windows.
        assertThat(inside).isBetween(guaranteed, guaranteed * 7 / 6);
        assertThat(rate.perSecond(start + 29_950, TEAM))
                .isBetween(perSecond - 0.3, perSecond + 0.5);
        assertThat(rate.perSecond(start + 36_000, TEAM)).isZero();
    }
}
