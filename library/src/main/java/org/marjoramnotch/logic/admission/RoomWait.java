package org.marjoramnotch.logic.admission;

import java.util.Map;
import java.util.Optional;
import org.marjoramnotch.logic.overload.Backlog;
import org.marjoramnotch.logic.overload.LateService;
import org.marjoramnotch.logic.preemption.PreemptionPlanner;
import org.marjoramnotch.model.identifier.TeamName;

/**
 * Estimates the wait for free workers: a rush of wide work that fills a pool. The pool serves the
 * core time of the work before the submission at the rate of its capacity.
 */
final class RoomWait implements WaitEstimator {
    /**
     * Share of the objective by which the wait may exceed the slack. The tasks that free a pool are
     * those of many teams, whose run times vary; without it, wide work that fills a pool had 2 to
     * 4% of the short work refused that would have been in time.
     */
    private static final double TOLERANCE = 0.25;

    @Override
    public String cause() {
        return "room";
    }

    @Override
    public Wait estimate(
            long nowMilliseconds, Submission submission, LoadSnapshot load, AdmittedWork admitted) {
        PoolLoad pool = load.pool(submission.pool()).orElse(null);
        if (pool == null
                || pool.totalProcessorMillis() <= 0
                || pool.totalProcessorMillis() < submission.atOnceProcessorMillis()) {
            return Wait.NONE;
        }
        double excess =
                (double) pool.waiting().before(submission.priority())
                        + admitted.processorMillisBefore(submission.pool(), submission.priority())
                        + submission.processorMillis()
                        - pool.freeProcessorMillis();
        if (excess <= preemptible(submission, pool)) {
            return Wait.NONE;
        }
        double rate = pool.rate();
        double wait =
                Backlog.waitMilliseconds(
                        pool.backlogs().values(),
                        rate,
                        submission.priority(),
                        processorTime(submission, pool, load, admitted),
                        pool.meanRunMilliseconds());
        double lasting =
                LateService.waitMilliseconds(
                        wait,
                        submission.slackMilliseconds()
                                + TOLERANCE * submission.objectiveMilliseconds(),
                        lowerPriority(submission, pool, load) / rate,
                        rate,
                        admitted.rateOf(nowMilliseconds, submission.pool()));
        return new Wait(Math.round(wait), Math.round(lasting));
    }

    /** Returns the capacity that is freed for the submission by stopping less urgent runs. */
    private static double preemptible(Submission submission, PoolLoad pool) {
        if (submission.priority() > 0) {
            return 0;
        }
        double lessUrgent =
                pool.backlogs().values().stream()
                        .mapToDouble(Backlog::preemptibleProcessorMillis)
                        .sum();
        return Math.min(lessUrgent, PreemptionPlanner.mostStopping(pool.totalProcessorMillis()));
    }

    /** Returns the core time of the submission and of what is served before it. */
    private static double processorTime(
            Submission submission, PoolLoad pool, LoadSnapshot load, AdmittedWork admitted) {
        double own = submission.processorTime(pool.meanRunMilliseconds());
        double sum =
                own
                        + admitted.processorTimeBefore(
                                submission.pool(),
                                submission.priority(),
                                pool.meanRunMilliseconds());
        for (Map.Entry<Optional<TeamName>, Backlog> entry : pool.backlogs().entrySet()) {
            Backlog backlog = entry.getValue();
            double before = backlog.before(submission.priority(), own);
            sum += Math.min(before, mostServed(submission, entry.getKey(), load));
        }
        return sum;
    }

    private static double lowerPriority(Submission submission, PoolLoad pool, LoadSnapshot load) {
        double sum = 0;
        for (Map.Entry<Optional<TeamName>, Backlog> entry : pool.backlogs().entrySet()) {
            double after = entry.getValue().after(submission.priority());
            sum += Math.min(after, mostServed(submission, entry.getKey(), load));
        }
        return sum;
    }

    /**
     * Returns the most work of a team that is served while the submission may wait. A team at its
     * limit leaves the other capacity of the pool to other teams.
     */
    private static double mostServed(
            Submission submission, Optional<TeamName> name, LoadSnapshot load) {
        return load.team(name)
                .filter(team -> team.limitProcessorMillis() > 0)
                .map(team -> team.rate() * submission.longestWaitMilliseconds())
                .orElse(Double.MAX_VALUE);
    }
}
