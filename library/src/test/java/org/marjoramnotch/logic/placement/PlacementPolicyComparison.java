package org.marjoramnotch.logic.placement;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.endpoint.EndpointState;
import org.marjoramnotch.model.endpoint.SlotKind;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.ExecutionOutcome;
import org.marjoramnotch.model.identifier.AttemptId;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.EndAttempt;
import org.marjoramnotch.model.message.Granted;
import org.marjoramnotch.model.message.RenewEntry;
import org.marjoramnotch.model.rule.TeamRule;

/**
 * Compares the placement policies in a simulated load peak on 32 endpoints of 8 slots. One large
 * team always submits more than its fair share. Five smaller teams with different shares stay below
 * their fair shares, except in the middle third of the run. Prints the waiting times outside the
 * middle third and the largest deviation of each team from its fair share in windows of 10 s.
 */
final class PlacementPolicyComparison {
    private static final long RUN_MILLISECONDS = 120_000;
    private static final long WINDOW_MILLISECONDS = 10_000;
    private static final int WINDOWS = (int) (RUN_MILLISECONDS / WINDOW_MILLISECONDS);
    private static final int ENDPOINTS = 32;
    private static final int SLOTS = 8;
    private static final int SMALL_TEAMS = 5;
    private static final int LARGE_SHARE = 30;
    private static final int SMALL_SHARE = 10;
    private static final double OFF_PEAK_RATE = 90;
    private static final double PEAK_RATE = 400;
    private static final double LARGE_RATE = 900;
    private static final double SLOT_MILLISECONDS =
            (double) ENDPOINTS * SLOTS * WINDOW_MILLISECONDS;
    private static final long DEADLINE_MILLISECONDS = 5_000;
    private static final double MEAN_RUN_MILLISECONDS = 250;
    private static final VmId ENTRY = new VmId("entry");

    private final TestCell cell;
    private final PlacementHistograms histograms = new PlacementHistograms();
    private final UniformRandomProvider random;
    private final TreeMap<Long, List<EndAttempt>> ends = new TreeMap<>();
    private final Map<TeamName, double[]> heldMilliseconds = new TreeMap<>();
    private final Map<AttemptId, Long> deadlines = new HashMap<>();
    private final Map<TeamName, Integer> answeredInTime = new TreeMap<>();
    private final Map<TeamName, Integer> answeredLate = new TreeMap<>();
    private long sequence;

    private PlacementPolicyComparison(PlacementPolicy policy, long seed) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        TestConfiguration configuration = new TestConfiguration().team("large", LARGE_SHARE, 1_000);
        for (int team = 0; team < SMALL_TEAMS; team++) {
            configuration.team("small" + team, SMALL_SHARE * (team + 1), 1_000);
        }
        cell = TestCell.create(configuration);
        cell.commitMilliseconds = 4;
        cell.policy = policy;
        cell.metricsListener = new OffPeakMetricsListener();
        cell.newLeader(0);
        cell.listener = this::onReply;
    }

    /**
     * Ignores waiting times in the middle third, when all teams demand more than their fair shares.
     */
    private final class OffPeakMetricsListener implements PlacementMetricsListener {
        @Override
        public void onGranted(TeamName team, boolean urgent, long waitedMilliseconds) {
            long arrived = cell.now - waitedMilliseconds;
            if (!isPeak(arrived) && !isPeak(arrived - WINDOW_MILLISECONDS)) {
                histograms.onGranted(team, urgent, waitedMilliseconds);
            }
        }

        @Override
        public void onEnded(TeamName team, long ranMilliseconds) {}

        @Override
        public void onRefused(TeamName team, ErrorCode code) {
            histograms.onRefused(team, code);
        }
    }

    public static void main(String[] arguments) {
        PrintStream out = new PrintStream(System.out, true, StandardCharsets.UTF_8);
        long seed = arguments.length == 0 ? 1 : Long.parseLong(arguments[0]);
        new PlacementPolicyComparison(PlacementPolicy.FIRST_COME, seed).run("first-come", out);
        new PlacementPolicyComparison(PlacementPolicy.FAIR, seed).run("fair", out);
    }

    private void run(String name, PrintStream out) {
        long started = System.nanoTime();
        for (long milliseconds = 0; milliseconds < RUN_MILLISECONDS; milliseconds++) {
            if (milliseconds % 1_000 == 0) {
                renewLeases();
            }
            arrive("large", LARGE_RATE);
            for (int team = 0; team < SMALL_TEAMS; team++) {
                arrive("small" + team, smallRate(cell.now));
            }
            cell.advance(1);
            finish();
            sample();
        }
        double seconds = (System.nanoTime() - started) / 1e9;
        print(name, seconds, out);
    }

    private static boolean isPeak(long milliseconds) {
        return milliseconds >= RUN_MILLISECONDS / 3 && milliseconds < 2 * RUN_MILLISECONDS / 3;
    }

    private static double smallRate(long milliseconds) {
        return isPeak(milliseconds) ? PEAK_RATE : OFF_PEAK_RATE;
    }

    private void renewLeases() {
        for (int endpoint = 0; endpoint < ENDPOINTS; endpoint++) {
            cell.announce(TestCell.endpoint("e" + endpoint, "i1", SLOTS), EndpointState.ACTIVE);
        }
        cell.send(new RenewEntry(ENTRY, "i1"));
        cell.replies.clear();
    }

    private void arrive(String team, double perSecond) {
        double chance = perSecond / 1_000;
        if (random.nextDouble() < chance) {
            boolean urgent = random.nextInt(10) == 0;
            AttemptId attempt = new AttemptId(ENTRY, "i1", sequence++);
            deadlines.put(attempt, cell.now + DEADLINE_MILLISECONDS);
            cell.send(
                    TestCell.request(
                            team, attempt, SlotKind.REQUEST, urgent, DEADLINE_MILLISECONDS));
        }
    }

    private void onReply(RequestHandle handle, CellReply reply) {
        if (reply instanceof Granted granted) {
            double run = -Math.log(1 - random.nextDouble()) * MEAN_RUN_MILLISECONDS;
            long due = cell.now + 2 + (long) run;
            boolean inTime = due <= deadlines.remove(granted.attempt());
            (inTime ? answeredInTime : answeredLate).merge(granted.team(), 1, Integer::sum);
            ends.computeIfAbsent(due, time -> new ArrayList<>())
                    .add(
                            new EndAttempt(
                                    granted.attempt(),
                                    ExecutionOutcome.RAN,
                                    false,
                                    due - cell.now,
                                    Optional.empty()));
        }
    }

    private void finish() {
        while (!ends.isEmpty() && ends.firstKey() <= cell.now) {
            ends.pollFirstEntry().getValue().forEach(cell::send);
        }
    }

    private void sample() {
        SlotPoolId pool = new SlotPoolId(TestConfiguration.SERVICE, SlotKind.REQUEST);
        int window = (int) Math.min(WINDOWS - 1, (cell.now - 1) / WINDOW_MILLISECONDS);
        for (var team : cell.configuration.teams()) {
            heldMilliseconds.computeIfAbsent(team.team(), absent -> new double[WINDOWS])[window] +=
                    cell.state.inUse(pool, team.team());
        }
    }

    private static double demandedSlotTime(TeamRule team, int window) {
        boolean large = team.team().value().equals("large");
        double rate = large ? LARGE_RATE : smallRate(window * WINDOW_MILLISECONDS);
        return rate * (MEAN_RUN_MILLISECONDS + 2) * WINDOW_MILLISECONDS / 1_000;
    }

    /**
     * Returns the slot time that each team is entitled to by its share; slot time that a team does
     * not demand is divided among the others.
     */
    private Map<TeamName, Double> fairSlotTimes(int window) {
        Map<TeamName, Double> slotTimes = new TreeMap<>();
        List<TeamRule> remaining = new ArrayList<>(cell.configuration.teams());
        double available = SLOT_MILLISECONDS;
        while (!remaining.isEmpty()) {
            double timePerShare = available / remaining.stream().mapToInt(TeamRule::share).sum();
            List<TeamRule> satisfied =
                    remaining.stream()
                            .filter(t -> demandedSlotTime(t, window) <= timePerShare * t.share())
                            .toList();
            if (satisfied.isEmpty()) {
                remaining.forEach(team -> slotTimes.put(team.team(), timePerShare * team.share()));
                return slotTimes;
            }
            for (TeamRule team : satisfied) {
                slotTimes.put(team.team(), demandedSlotTime(team, window));
                available -= demandedSlotTime(team, window);
                remaining.remove(team);
            }
        }
        return slotTimes;
    }

    private double largestDeviation(TeamName team) {
        double largest = 0;
        for (int window = 0; window < WINDOWS; window++) {
            long start = window * WINDOW_MILLISECONDS;
            if (isPeak(start - WINDOW_MILLISECONDS) && !isPeak(start)) {
                continue;
            }
            double held = heldMilliseconds.get(team)[window];
            double due = fairSlotTimes(window).get(team);
            largest = Math.max(largest, Math.abs(due - held) / SLOT_MILLISECONDS);
        }
        return largest;
    }

    private void print(String name, double seconds, PrintStream out) {
        out.printf(
                Locale.ROOT,
                "policy=%s requests=%d decided_per_second=%.0f%n",
                name,
                sequence,
                sequence / seconds);
        for (TeamName team : histograms.normalWaits().keySet()) {
            Histogram normal = histograms.normalWaits().get(team);
            Histogram urgent = histograms.urgentWaits().get(team);
            out.printf(
                    Locale.ROOT,
                    "  team=%s in_time=%d late=%d refused=%d normal_p50=%d normal_p99=%d"
                            + " urgent_p50=%d urgent_p99=%d largest_distance_percent=%.1f%n",
                    team,
                    answeredInTime.getOrDefault(team, 0),
                    answeredLate.getOrDefault(team, 0),
                    histograms.refusals().getOrDefault(team, 0L),
                    normal.getValueAtPercentile(50),
                    normal.getValueAtPercentile(99),
                    urgent.getValueAtPercentile(50),
                    urgent.getValueAtPercentile(99),
                    100 * largestDeviation(team));
        }
    }
}
