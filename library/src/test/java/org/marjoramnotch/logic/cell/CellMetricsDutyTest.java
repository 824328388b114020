package org.marjoramnotch.logic.cell;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramnotch.logic.job.ResourceUtilization;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.logic.ledger.Ledger;
import org.marjoramnotch.model.command.ChangeConfiguration;
import org.marjoramnotch.model.command.Command;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.identifier.RequestId;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.rule.QueuePolicy;
import org.marjoramnotch.model.rule.RuleLine;
import org.marjoramnotch.model.rule.TeamRule;

class CellMetricsDutyTest {
    private static final TeamRule TEAM = new TeamRule(new TeamName("wards"), 2, 64);
    private static final ResourceUtilization UTILIZATION =
            new ResourceUtilization(new Resources(1, 2, 0), new Resources(4, 5, 6));
    private static final LeaderOutput NO_OUTPUT =
            new LeaderOutput() {
                @Override
                public void propose(Command command) {}

                @Override
                public void reply(RequestHandle handle, CellReply reply) {}
            };

    private final List<CellMetrics> reported = new ArrayList<>();

    @Test
    void metricsAreReportedEverySecond() {
        Ledger ledger = new Ledger();
        ledger.apply(
                new ChangeConfiguration(
                        new RequestId("r"), 0, List.of(), List.of(new RuleLine(TEAM, "Aiko"))));
        CellMetricsDuty duty =
                new CellMetricsDuty(
                        ledger,
                        Set::of,
                        () -> UTILIZATION,
                        now -> Optional.empty(),
                        new RecordingListener(),
                        5_000);

        for (long now = 5_000; now <= 7_000; now += 20) {
            duty.onTick(now, NO_OUTPUT);
        }

        CellMetrics expected =
                new CellMetrics(
                        List.of(new TeamMetrics(TEAM.team(), 0, 64, 0)),
                        UTILIZATION,
                        Optional.empty());
        assertThat(reported).containsExactly(expected, expected, expected);
    }

    /**
     * Each team is given as its name, share, upper limit and running work; a star marks a team with
     * waiting work.
     */
    @ParameterizedTest
    @CsvSource({
        "a 1 100 6,  b 1 100 2*, 0.25, 0.25",
        "a 3 100 8,  b 1 100 0*, 0.25, 0.25",
        "a 3 100 6*, b 1 100 2*, 0,    0",
        "a 1 100 6,  b 1 100 2,  0,    0",
        "a 1 100 6,  b 1 2 2*,   0,    0",
        "a 1 100 6,  b 1 3 2*,   0.125, 0.125",
        "a 1 100 0,  b 1 100 0*, 0,    0",
    })
    void deviationIsDifferenceFromWeightedShare(
            String first, String second, double firstDeviation, double secondDeviation) {
        Map<TeamName, Integer> running = new TreeMap<>();
        List<TeamRule> rules = new ArrayList<>();
        for (String text : List.of(first, second)) {
            String[] parts = text.replace("*", "").split(" ");
            TeamName team = new TeamName(parts[0]);
            rules.add(new TeamRule(team, Integer.parseInt(parts[1]), Integer.parseInt(parts[2])));
            running.put(team, Integer.parseInt(parts[3]));
        }
        Set<TeamName> waiting =
                Arrays.stream(new String[] {first, second})
                        .filter(text -> text.endsWith("*"))
                        .map(text -> new TeamName(text.substring(0, 1)))
                        .collect(Collectors.toSet());
        ShareDeviations deviations = new ShareDeviations();

        window(deviations, rules, running, waiting);
        assertDeviations(deviations, firstDeviation, secondDeviation);
        for (int laterWindow = 1; laterWindow < ShareDeviations.MAXIMUM_WINDOWS; laterWindow++) {
            window(deviations, rules, running, Set.of());
        }
        assertDeviations(deviations, firstDeviation, secondDeviation);
        window(deviations, rules, running, Set.of());
        assertDeviations(deviations, 0, 0);
    }

    private static void window(
            ShareDeviations deviations,
            List<TeamRule> rules,
            Map<TeamName, Integer> running,
            Set<TeamName> waiting) {
        for (int sample = 0; sample < ShareDeviations.WINDOW_SAMPLES; sample++) {
            deviations.sample(rules, running::get, waiting);
        }
    }

    private static void assertDeviations(ShareDeviations deviations, double first, double second) {
        assertThat(deviations.largest(new TeamName("a"))).isCloseTo(first, within(1e-9));
        assertThat(deviations.largest(new TeamName("b"))).isCloseTo(second, within(1e-9));
    }

    private final class RecordingListener implements LeaderMetricsListener {
        @Override
        public void onCellMetrics(CellMetrics metrics) {
            reported.add(metrics);
        }

        @Override
        public void onRunStarted(TeamName team, QueuePolicy policy, long waitedMilliseconds) {}

        @Override
        public void onRunEnded(TeamName team, QueuePolicy policy, long ranMilliseconds) {}

        @Override
        public void onGranted(TeamName team, boolean urgent, long waitedMilliseconds) {}

        @Override
        public void onEnded(TeamName team, long ranMilliseconds) {}

        @Override
        public void onRefused(TeamName team, ErrorCode code) {}
    }
}
