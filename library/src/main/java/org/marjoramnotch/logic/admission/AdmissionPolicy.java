package org.marjoramnotch.logic.admission;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.marjoramnotch.model.identifier.JobId;

/**
 * Refuses submissions that can't be served any more. Work that is accepted waits behind the work
 * before it; if the wait alone makes its result worthless, its caller is told so at once, and when
 * to return. A team with less than its share of the waiting work is always admitted.
 */
public final class AdmissionPolicy {
    /** Multiple of the latency objective after which a result is worthless. */
    private static final int WORTHLESS_AFTER_OBJECTIVES = 3;

    /** Callers read the pause in whole seconds. */
    private static final long SHORTEST_PAUSE_MILLISECONDS = 1_000;

    /** The load changes too much for a longer forecast. */
    private static final long LONGEST_PAUSE_MILLISECONDS = 30_000;

    private final List<WaitEstimator> estimators =
            List.of(new RoomWait(), new AdvisorWait(), new TeamLimitWait());
    private final AdmittedWork admitted = new AdmittedWork();
    private final ReturnSchedule returns = new ReturnSchedule();

    /**
     * A refusal of a submission.
     *
     * @param cause what the submission would wait for
     * @param waitMilliseconds the estimated wait
     * @param limitMilliseconds the longest wait after which its result still has a worth
     * @param retryAfterMilliseconds when its caller should return
     */
    public record Rejection(
            String cause,
            long waitMilliseconds,
            long limitMilliseconds,
            long retryAfterMilliseconds) {}

    private record Wait(WaitEstimator estimator, long milliseconds) {}

    /** Admits a submission, or returns why it is refused. */
    public Optional<Rejection> admit(
            long nowMilliseconds, Submission submission, LoadSnapshot load) {
        Wait wait = longestWait(submission, load);
        long limit =
                WORTHLESS_AFTER_OBJECTIVES * submission.objectiveMilliseconds()
                        - submission.criticalPathMilliseconds();
        boolean ownLimit = wait.estimator() instanceof TeamLimitWait;
        if (wait.milliseconds() <= limit || (!ownLimit && isBelowShare(submission, load))) {
            admitted.add(submission);
            return Optional.empty();
        }
        long earliest =
                nowMilliseconds
                        + Math.max(
                                SHORTEST_PAUSE_MILLISECONDS,
                                wait.milliseconds() - submission.slackMilliseconds());
        long returnAt =
                returns.reserve(
                        earliest, drainInterval(submission, load, wait), submission.priority());
        return Optional.of(
                new Rejection(
                        wait.estimator().cause(),
                        wait.milliseconds(),
                        limit,
                        Math.min(LONGEST_PAUSE_MILLISECONDS, returnAt - nowMilliseconds)));
    }

    /** Handles the storage of an admitted submission, or its refusal for another reason. */
    public void onSettled(JobId workflow) {
        admitted.remove(workflow);
    }

    private Wait longestWait(Submission submission, LoadSnapshot load) {
        return estimators.stream()
                .map(
                        estimator ->
                                new Wait(estimator, estimator.estimate(submission, load, admitted)))
                .max(Comparator.comparingLong(Wait::milliseconds))
                .orElseThrow();
    }

    /** Returns whether the team has less of the waiting work than its weight entitles it to. */
    private boolean isBelowShare(Submission submission, LoadSnapshot load) {
        TeamLoad team = load.team(submission.team()).orElse(null);
        if (team == null) {
            return false;
        }
        long own = team.waitingProcessorMillis() + admitted.processorMillisOf(submission.team());
        long weights = load.teams().values().stream().mapToLong(TeamLoad::weight).sum();
        long all = load.teams().values().stream().mapToLong(TeamLoad::waitingProcessorMillis).sum();
        return own * weights < all * team.weight();
    }

    /** Returns the time in which an amount of work like that of the submission is taken off. */
    private static long drainInterval(Submission submission, LoadSnapshot load, Wait wait) {
        long waiting = load.pool(submission.pool()).map(pool -> pool.waiting().total()).orElse(0L);
        return waiting <= 0
                ? 0
                : Math.min(
                        SHORTEST_PAUSE_MILLISECONDS,
                        wait.milliseconds() * submission.processorMillis() / waiting);
    }
}
