package org.marjoramnotch.logic.job;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.resource.Resources;

/** Samples packing and distance from share each second. */
final class ReplayMetrics {
    private static final int WINDOW_SECONDS = 10;

    final Histogram urgentWaiting = new Histogram(3);
    final Histogram normalWaiting = new Histogram(3);
    private final Map<TeamName, Double> windowMissing = new TreeMap<>();
    private double packingSum;
    private int packingSamples;
    private int windowSamples;
    private double largestMissing;
    private double missingSum;
    private int windows;

    /** Takes a sample; counts only while tasks wait. */
    void sample(JobLedger ledger) {
        Resources fleet = Resources.NONE;
        Map<TeamName, Resources> used = new TreeMap<>();
        for (WorkerEntry worker : ledger.workers()) {
            fleet = fleet.plus(worker.description.capacity());
            for (TaskEntry run : worker.runs()) {
                used.merge(run.job.team, run.job.perTask(), Resources::plus);
            }
        }
        Map<TeamName, Resources> wanted = new TreeMap<>(used);
        for (JobEntry job : ledger.liveJobs()) {
            if (job.queued > 0) {
                wanted.merge(job.team, times(job.perTask(), job.queued), Resources::plus);
            }
        }
        if (ledger.queuedCount() < 50) {
            return;
        }
        double packing = largestSum(used, fleet, Map.of());
        packingSum += packing;
        packingSamples++;
        sampleShares(used, wanted, fleet, packing);
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
                largestMissing,
                missingSum / Math.max(1, windows));
    }

    /** Compares with the weighted max-min division of what is in use among what is wanted. */
    private void sampleShares(
            Map<TeamName, Resources> used,
            Map<TeamName, Resources> wanted,
            Resources fleet,
            double packing) {
        double low = 0;
        double high = 1;
        for (int step = 0; step < 30; step++) {
            double level = (low + high) / 2;
            if (largestSum(wanted, fleet, scales(wanted, fleet, level)) < packing) {
                low = level;
            } else {
                high = level;
            }
        }
        double level = low;
        wanted.forEach(
                (team, amounts) -> {
                    double due =
                            Math.min(
                                    ResourceDimension.dominantShare(amounts, fleet),
                                    level * ReplayProfile.SHARES.get(team));
                    Resources has = used.getOrDefault(team, Resources.NONE);
                    double missing = due - ResourceDimension.dominantShare(has, fleet);
                    windowMissing.merge(team, missing, Double::sum);
                });
        windowSamples++;
        if (windowSamples == WINDOW_SECONDS) {
            double largest =
                    windowMissing.values().stream().mapToDouble(sum -> sum).max().orElse(0)
                            / WINDOW_SECONDS;
            largestMissing = Math.max(largestMissing, largest);
            missingSum += Math.max(0, largest);
            windows++;
            windowMissing.clear();
            windowSamples = 0;
        }
    }

    private static Map<TeamName, Double> scales(
            Map<TeamName, Resources> wanted, Resources fleet, double level) {
        Map<TeamName, Double> scales = new TreeMap<>();
        wanted.forEach(
                (team, amounts) -> {
                    double part = ResourceDimension.dominantShare(amounts, fleet);
                    double due = level * ReplayProfile.SHARES.get(team);
                    scales.put(team, Math.min(1, due / part));
                });
        return scales;
    }

    private static double largestSum(
            Map<TeamName, Resources> amounts, Resources fleet, Map<TeamName, Double> scales) {
        double largest = 0;
        for (ResourceDimension dimension : ResourceDimension.ALL) {
            double sum = 0;
            for (Map.Entry<TeamName, Resources> amount : amounts.entrySet()) {
                double scale = scales.getOrDefault(amount.getKey(), 1.0);
                sum += scale * dimension.of(amount.getValue());
            }
            largest = Math.max(largest, sum / Math.max(1, dimension.of(fleet)));
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
