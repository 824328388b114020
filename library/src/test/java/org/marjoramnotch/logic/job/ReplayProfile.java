package org.marjoramnotch.logic.job;

import java.util.Map;
import java.util.TreeMap;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.resource.Resources;

/**
 * The capacity of the workers and the queue order of one user of the scheduler. All profiles have
 * the same number of workers and the same teams and shares.
 */
enum ReplayProfile {
    HAKATA(new Resources(64_000, 128_000, 0), QueueOrder.FAIR_SHARE),
    LONE_STAR(new Resources(16_000, 32_000, 0), QueueOrder.URGENT_FIRST);

    static final int WORKERS = 32;

    /** Shares of the six teams; team {@code large} submits about half of all work. */
    static final Map<TeamName, Integer> SHARES =
            new TreeMap<>(
                    Map.of(
                            new TeamName("large"), 40,
                            new TeamName("b"), 20,
                            new TeamName("c"), 15,
                            new TeamName("d"), 10,
                            new TeamName("e"), 10,
                            new TeamName("f"), 5));

    final Resources worker;
    final QueueOrder order;

    ReplayProfile(Resources worker, QueueOrder order) {
        this.worker = worker;
        this.order = order;
    }
}
