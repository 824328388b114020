package org.marjoramnotch.logic.job;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.resource.Resources;

/** Samples the packing of the workers and the deviation from the shares each second. */
final class ReplayMetrics {
    private static final int WINDOW_SECONDS = 10;

    final Histogram urgentWaiting = new Histogram(3);
    final Histogram normalWaiting = new Histogram(3);
    private final Map<TeamName, Double> windowShortfalls = new TreeMap<>();
    private double packingSum;
    private int packingSamples;
    private int windowSamples;
    private double largestShortfall;
    private double shortfallSum;
    private int windows;

    /** Takes a sample, which counts only while at least 50 tasks are queued. */
    void sample(JobLedger ledger) {
        Resources totalCapacity = Resources.NONE;
        Map<TeamName, Resources> used = new TreeMap<>();
        for (WorkerEntry worker : ledger.workers()) {
            totalCapacity = totalCapacity.plus(worker.description.capacity());
            for (TaskEntry run : worker.runs()) {
                used.merge(run.job.team, run.job.perTask(), Resources::plus);
            }
        }
        Map<TeamName, Resources> requested = new TreeMap<>(used);
        for (JobEntry job : ledger.liveJobs()) {
            if (job.queued > 0) {
                requested.merge(job.team, times(job.perTask(), job.queued), Resources::plus);
            }
        }
        if (ledger.queuedCount() < 50) {
            return;
        }
        double packing = largestSum(used, totalCapacity, Map.of());
        packingSum += packing;
        packingSamples++;
        sampleShares(used, requested, totalCapacity, packing);
    }

    String report() {
        String form =
                "waiting ms urgent p50 %d p99 %d, normal p50 %d p99 %d; packing %.3f;"
                        + " share missing over 10 s: largest %.3f, mean of windows' largest %.3f";
        return form.formatted(
                urgentWaiting.getValueAtPercentile(50),
                urgentWaiting.getValueAtPercentile(99),
                normalWaiting.getValueAtPercentile(50),
                normalWaiting.getValueAtPercentile(99),
                packingSum / packingSamples,
                largestShortfall,
                shortfallSum / Math.max(1, windows));
    }

    /**
     * Compares the usage of each team with its part of the weighted max-min fair division of the
     * resources in use.
     */
    private void sampleShares(
            Map<TeamName, Resources> used,
            Map<TeamName, Resources> requested,
            Resources totalCapacity,
            double packing) {
        double low = 0;
        double high = 1;
        for (int step = 0; step < 30; step++) {
            double level = (low + high) / 2;
            if (largestSum(requested, totalCapacity, scales(requested, totalCapacity, level))
                    < packing) {
                low = level;
            } else {
                high = level;
            }
        }
        double level = low;
        requested.forEach(
                (team, amounts) -> {
                    double fairShare =
                            Math.min(
                                    ResourceDimension.dominantShare(amounts, totalCapacity),
                                    level * ReplayProfile.SHARES.get(team));
                    Resources has = used.getOrDefault(team, Resources.NONE);
                    double shortfall =
                            fairShare - ResourceDimension.dominantShare(has, totalCapacity);
                    windowShortfalls.merge(team, shortfall, Double::sum);
                });
        windowSamples++;
        if (windowSamples == WINDOW_SECONDS) {
            double largest =
                    windowShortfalls.values().stream().mapToDouble(sum -> sum).max().orElse(0)
                            / WINDOW_SECONDS;
            largestShortfall = Math.max(largestShortfall, largest);
            shortfallSum += Math.max(0, largest);
            windows++;
            windowShortfalls.clear();
            windowSamples = 0;
        }
    }

    private static Map<TeamName, Double> scales(
            Map<TeamName, Resources> requested, Resources totalCapacity, double level) {
        Map<TeamName, Double> scales = new TreeMap<>();
        requested.forEach(
                (team, amounts) -> {
                    double part = ResourceDimension.dominantShare(amounts, totalCapacity);
                    double fairShare = level * ReplayProfile.SHARES.get(team);
                    scales.put(team, Math.min(1, fairShare / part));
                });
        return scales;
    }

    private static double largestSum(
            Map<TeamName, Resources> amounts,
            Resources totalCapacity,
            Map<TeamName, Double> scales) {
        double largest = 0;
        for (ResourceDimension dimension : ResourceDimension.ALL) {
            double sum = 0;
            for (Map.Entry<TeamName, Resources> amount : amounts.entrySet()) {
                double scale = scales.getOrDefault(amount.getKey(), 1.0);
                sum += scale * dimension.of(amount.getValue());
            }
            largest = Math.max(largest, sum / Math.max(1, dimension.of(totalCapacity)));
        }
        return largest;
    }

    private static Resources times(Resources one, int count) {
        return new Resources(
                one.processorMillis() * count,
                one.memoryMegabytes() * count,
                one.accelerators() * count);
    }
}
