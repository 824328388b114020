package org.marjoramnotch.logic.placement;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.identifier.TeamName;

/** Records histograms of waiting times and run times per team, in milliseconds. */
final class PlacementHistograms implements PlacementMetricsListener {
    private static final long LONGEST_MILLISECONDS = 3_600_000;
    private static final int SIGNIFICANT_DIGITS = 2;

    private final Map<TeamName, Histogram> urgentWaits = new TreeMap<>();
    private final Map<TeamName, Histogram> normalWaits = new TreeMap<>();
    private final Map<TeamName, Histogram> runs = new TreeMap<>();
    private final Map<TeamName, Long> refusals = new TreeMap<>();

    @Override
    public void onGranted(TeamName team, boolean urgent, long waitedMilliseconds) {
        record(urgent ? urgentWaits : normalWaits, team, waitedMilliseconds);
    }

    @Override
    public void onEnded(TeamName team, long ranMilliseconds) {
        record(runs, team, ranMilliseconds);
    }

    @Override
    public void onRefused(TeamName team, ErrorCode code) {
        refusals.merge(team, 1L, Long::sum);
    }

    /** Returns the waiting times of urgent requests. */
    public Map<TeamName, Histogram> urgentWaits() {
        return Collections.unmodifiableMap(urgentWaits);
    }

    /** Returns the waiting times of requests that are not urgent. */
    public Map<TeamName, Histogram> normalWaits() {
        return Collections.unmodifiableMap(normalWaits);
    }

    /** Returns the run times. */
    public Map<TeamName, Histogram> runs() {
        return Collections.unmodifiableMap(runs);
    }

    /** Returns the number of refused requests. */
    public Map<TeamName, Long> refusals() {
        return Collections.unmodifiableMap(refusals);
    }

    private static void record(Map<TeamName, Histogram> all, TeamName team, long milliseconds) {
        long value = Math.max(0, Math.min(LONGEST_MILLISECONDS, milliseconds));
        all.computeIfAbsent(team, name -> new Histogram(LONGEST_MILLISECONDS, SIGNIFICANT_DIGITS))
                .recordValue(value);
    }
}
