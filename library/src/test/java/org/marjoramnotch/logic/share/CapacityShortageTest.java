package org.marjoramnotch.logic.share;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.identifier.TeamName;

class CapacityShortageTest {
    private static final ServiceName POOL = new ServiceName("pool");

    /** Guards against another order for a team that waits for its own work only. */
    @ParameterizedTest(name = "waiting {0}, held by {1}: {2}")
    @CsvSource({
        "'', one, false",
        "one, '', false",
        "one, one, false",
        "one, two, true",
        "one, one two, true",
        "one two, one, true",
        "none, one, true",
        "none, none, false",
    })
    void shortIfOneTeamWaitsForAnother(String waiting, String holders, boolean isShort) {
        CapacityShortage shortage = new CapacityShortage();
        shortage.beginRound();
        teams(waiting).forEach(team -> shortage.addWaiting(POOL, team));
        shortage.endRound(pool -> teams(holders));
        shortage.beginRound();
        assertThat(shortage.shortPools().contains(POOL)).isEqualTo(isShort);
        shortage.endRound(pool -> teams(holders));
        assertThat(shortage.shortPools()).isEmpty();
    }

    private static Set<Optional<TeamName>> teams(String names) {
        return Arrays.stream(names.split(" "))
                .filter(name -> !name.isEmpty())
                .map(name -> Optional.of(name).filter(n -> !n.equals("none")).map(TeamName::new))
                .collect(Collectors.toSet());
    }
}
