package org.marjoramnotch.logic.share;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramnotch.model.fleet.TeamDefinition;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.resource.Resources;

class DominantSharesTest {
    private static final Resources CAPACITY = new Resources(1_000, 1_000, 10);
    private static final Optional<TeamName> ONE = Optional.of(new TeamName("one"));
    private static final Optional<TeamName> TWO = Optional.of(new TeamName("two"));

    /** Guards against shares that ignore the scarcest resource, the weight or a removed team. */
    @ParameterizedTest(name = "weight {0}: {1}, {2}, {3} is a share of {4}")
    @CsvSource({
        "1, 500, 100, 0, 0.5",
        "1, 100, 300, 0, 0.3",
        "1, 100, 100, 7, 0.7",
        "2, 500, 100, 0, 0.25",
        "0, 500, 100, 0, 0.5",
    })
    void shareIsThatOfTheScarcestResource(
            long weight, long processor, long memory, long accelerators, double share) {
        DominantShares shares = shares(CAPACITY, weight, 0);
        shares.addUse(ONE, new Resources(processor, memory, accelerators));
        assertThat(shares.shareOf(ONE)).isCloseTo(share, within(1e-9));
        assertThat(shares.shareOf(Optional.empty())).isZero();
        assertThat(shares.shareOf(Optional.of(new TeamName("removed")))).isZero();
    }

    /** Guards against unused or unusable shares that are not lent to the others. */
    @ParameterizedTest(name = "weight {0}, limit {1}, wants {2} and {3}: entitled to {4}")
    @CsvSource({
        "1, 0, 2000, 2000, 0.5",
        "1, 0, 200, 2000, 0.8",
        "3, 0, 9000, 2000, 0.25",
        "3, 300, 9000, 2000, 0.7",
        "1, 0, 300, 600, Infinity",
    })
    void entitledShareLendsWhatOthersLeave(
            long weight, long limit, long one, long two, double entitled) {
        DominantShares shares = shares(CAPACITY, weight, limit);
        shares.addWaiting(ONE, new Resources(one, 0, 0));
        shares.addWaiting(TWO, new Resources(two, 0, 0));
        if (Double.isInfinite(entitled)) {
            assertThat(shares.entitledShare()).isInfinite();
        } else {
            assertThat(shares.entitledShare()).isCloseTo(entitled, within(1e-6));
        }
    }

    /** Teams that need different resources don't take each other's. */
    @Test
    void differentResourcesAreSharedSeparately() {
        DominantShares shares = shares(CAPACITY, 1, 0);
        shares.addWaiting(ONE, new Resources(2_000, 200, 0));
        shares.addWaiting(TWO, new Resources(200, 2_000, 0));
        assertThat(shares.entitledShare()).isCloseTo(1 / 1.1, within(1e-6));
    }

    /** Guards against divisions by the capacity of a pool that has lost its workers. */
    @Test
    void poolWithoutCapacityHasNumbers() {
        DominantShares shares = shares(Resources.NONE, 1, 0);
        shares.addUse(ONE, new Resources(500, 100, 1));
        shares.addWaiting(TWO, new Resources(Long.MAX_VALUE, 0, 0));
        double entitled = shares.entitledShare();
        assertThat(List.of(shares.shareOf(ONE), entitled)).noneMatch(value -> value.isNaN());
        assertThat(DominantShares.portions(shares.shareOf(TWO), entitled)).isZero();
    }

    private static DominantShares shares(Resources capacity, long weight, long limit) {
        Map<TeamName, TeamDefinition> teams =
                Map.of(
                        ONE.orElseThrow(),
                        new TeamDefinition(
                                ONE.orElseThrow(), List.of(), weight, new Resources(limit, 0, 0)));
        return new DominantShares(capacity, capacity, team -> Optional.ofNullable(teams.get(team)));
    }
}
