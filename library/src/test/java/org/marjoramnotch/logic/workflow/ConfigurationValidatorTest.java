package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThatCode;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.fleet.FleetConfiguration;
import org.marjoramnotch.model.fleet.PoolDefinition;
import org.marjoramnotch.model.fleet.QueueDefinition;
import org.marjoramnotch.model.fleet.TeamDefinition;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.resource.Resources;

class ConfigurationValidatorTest {
    static Stream<FleetConfiguration> contradictoryConfigurations() {
        FleetConfiguration valid = TestFleet.configuration(1);
        QueueDefinition quick = valid.queues().get(0);
        return Stream.of(
                with(List.of(quick), List.of(), valid.teams()),
                with(List.of(quick, quick), valid.pools(), valid.teams()),
                with(
                        List.of(
                                quick,
                                TestFleet.queue(
                                        "other", quick.pathPrefix(), 0, false, Optional.empty())),
                        valid.pools(),
                        valid.teams()),
                with(
                        List.of(quick),
                        valid.pools(),
                        List.of(
                                valid.teams().get(0),
                                new TeamDefinition(
                                        new TeamName("three"),
                                        List.of(TestFleet.KEY),
                                        1,
                                        Resources.NONE))),
                with(
                        List.of(quick, quick.at("CALLERS.example.", "/%71uick/")),
                        valid.pools(),
                        valid.teams()),
                with(
                        List.of(
                                quick,
                                TestFleet.queue("quick", "", 1, false, Optional.empty())
                                        .at("b", "/")),
                        valid.pools(),
                        valid.teams()),
                with(
                        List.of(quick),
                        List.of(
                                valid.pools().get(0),
                                new PoolDefinition(WorkflowCell.POOL, true, false)),
                        valid.teams()));
    }

    static Stream<FleetConfiguration> consistentConfigurations() {
        FleetConfiguration valid = TestFleet.configuration(1);
        QueueDefinition quick = valid.queues().get(0);
        return Stream.of(
                valid,
                with(
                        List.of(quick, quick.at("other.example", "/quick/")),
                        valid.pools(),
                        valid.teams()),
                with(
                        List.of(quick, quick.at(quick.host() + "/", "quick/")),
                        valid.pools(),
                        valid.teams()),
                with(
                        List.of(quick),
                        List.of(valid.pools().get(0), valid.pools().get(0)),
                        valid.teams()),
                with(
                        List.of(quick),
                        valid.pools(),
                        List.of(
                                new TeamDefinition(
                                        new TeamName("one"),
                                        List.of(TestFleet.KEY, TestFleet.KEY),
                                        1,
                                        Resources.NONE))));
    }

    private static FleetConfiguration with(
            List<QueueDefinition> queues, List<PoolDefinition> pools, List<TeamDefinition> teams) {
        return new FleetConfiguration(1, "", queues, pools, teams);
    }

    @ParameterizedTest
    @MethodSource("contradictoryConfigurations")
    void contradictoryConfigurationIsRejected(FleetConfiguration configuration) {
        assertThatThrownBy(() -> ConfigurationValidator.validate(configuration))
                .isInstanceOf(MarjoramnotchException.class);
    }

    @ParameterizedTest
    @MethodSource("consistentConfigurations")
    void consistentConfigurationIsAccepted(FleetConfiguration configuration) {
        assertThatCode(() -> ConfigurationValidator.validate(configuration))
                .doesNotThrowAnyException();
    }
}
