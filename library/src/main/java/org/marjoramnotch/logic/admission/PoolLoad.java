package org.marjoramnotch.logic.admission;

import java.util.Map;
import java.util.Optional;
import org.marjoramnotch.logic.overload.Backlog;
import org.marjoramnotch.model.identifier.TeamName;

/**
 * The load of a pool of workers.
 *
 * @param totalProcessorMillis capacity of its usable workers, in thousandths of a processor; while
 *     there are none, that of the latest ones
 * @param freeProcessorMillis what no task has reserved
 * @param meanRunMilliseconds mean run time of its tasks, weighted by their size; 0 if not known
 * @param waiting processor demand of the waiting tasks that no limit of a team holds back
 * @param backlogs the work of each team
 */
public record PoolLoad(
        long totalProcessorMillis,
        long freeProcessorMillis,
        double meanRunMilliseconds,
        WaitingWork waiting,
        Map<Optional<TeamName>, Backlog> backlogs) {
    /** Creates a load whose core time is not measured; it is that of tasks of the mean run time. */
    public PoolLoad(
            long totalProcessorMillis,
            long freeProcessorMillis,
            double meanRunMilliseconds,
            WaitingWork waiting) {
        this(
                totalProcessorMillis,
                freeProcessorMillis,
                meanRunMilliseconds,
                waiting,
                Map.of(
                        Optional.empty(),
                        waiting.toBacklog(
                                Math.max(0, totalProcessorMillis - freeProcessorMillis),
                                meanRunMilliseconds)));
    }

    /** Returns the rate at which work is served, in thousandths of a processor. */
    public double rate() {
        return Backlog.rate(
                totalProcessorMillis,
                backlogs.values().stream().mapToDouble(Backlog::standingProcessorMillis).sum());
    }
}
