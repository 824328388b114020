package org.marjoramnotch.logic.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.identifier.TeamName;

/**
 * Refuses submissions that can't be served any more. Work that is accepted waits behind the work
 * before it; if the wait alone makes its result worthless, its caller is told so at once, and when
 * to return. A team with less than its share of the waiting work is always admitted.
 */
public final class AdmissionPolicy {
    /** Callers read the pause in whole seconds. */
    private static final long SHORTEST_PAUSE_MILLISECONDS = 1_000;

    /** The load changes too much for a longer forecast: bursts last for 5 to 10 s. */
    private static final long LONGEST_PAUSE_MILLISECONDS = 10_000;

    private final List<WaitEstimator> estimators =
            List.of(new RoomWait(), new AdvisorWait(), new TeamLimitWait());
    private final AdmittedWork admitted = new AdmittedWork();
    private final Map<PauseKey, ReturnSchedule> returns = new HashMap<>();

    /**
     * A refusal of a submission.
     *
     * @param cause what the submission would wait for
     * @param waitMilliseconds the wait that the accepted work makes
     * @param lastingMilliseconds the wait if work continues to arrive as it did lately
     * @param limitMilliseconds the longest wait after which its result still has a value
     * @param retryAfterMilliseconds when its caller should return
     */
    public record Rejection(
            String cause,
            long waitMilliseconds,
            long lastingMilliseconds,
            long limitMilliseconds,
            long retryAfterMilliseconds) {}

    private record Estimate(WaitEstimator estimator, WaitEstimator.Wait expected) {}

    /** What refused callers wait for: the limit of a team, or a pool. */
    private record PauseKey(String cause, ServiceName pool, Optional<TeamName> team) {}

    /** Admits a submission, or returns why it is refused. */
    public Optional<Rejection> admit(
            long nowMilliseconds, Submission submission, LoadSnapshot load) {
        Estimate estimate = longestWait(nowMilliseconds, submission, load);
        WaitEstimator.Wait wait = estimate.expected();
        long limit = submission.longestWaitMilliseconds();
        boolean ownLimit = estimate.estimator() instanceof TeamLimitWait;
        if (wait.lastingMilliseconds() <= limit || (!ownLimit && isBelowShare(submission, load))) {
            admitted.add(nowMilliseconds, submission);
            return Optional.empty();
        }
        long earliest =
                nowMilliseconds
                        + Math.max(
                                SHORTEST_PAUSE_MILLISECONDS,
                                wait.milliseconds() - submission.slackMilliseconds());
        PauseKey key =
                new PauseKey(
                        estimate.estimator().cause(),
                        submission.pool(),
                        ownLimit ? submission.team() : Optional.empty());
        long returnAt =
                returns.computeIfAbsent(key, absent -> new ReturnSchedule())
                        .reserve(
                                earliest,
                                drainInterval(submission, load, wait, ownLimit),
                                submission.priority(),
                                nowMilliseconds + LONGEST_PAUSE_MILLISECONDS);
        return Optional.of(
                new Rejection(
                        estimate.estimator().cause(),
                        wait.milliseconds(),
                        wait.lastingMilliseconds(),
                        limit,
                        returnAt - nowMilliseconds));
    }

    /** Handles the storage of an admitted submission. */
    public void onSettled(JobId workflow) {
        admitted.settle(workflow);
    }

    /** Handles the refusal of an admitted submission for another reason. */
    public void onRefused(JobId workflow) {
        admitted.remove(workflow);
    }

    private Estimate longestWait(long nowMilliseconds, Submission submission, LoadSnapshot load) {
        return estimators.stream()
                .map(
                        estimator ->
                                new Estimate(
                                        estimator,
                                        estimator.estimate(
                                                nowMilliseconds, submission, load, admitted)))
                .max(
                        Comparator.comparingLong(
                                estimate -> estimate.expected().lastingMilliseconds()))
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
    private static long drainInterval(
            Submission submission, LoadSnapshot load, WaitEstimator.Wait wait, boolean ownLimit) {
        long waiting =
                ownLimit
                        ? load.team(submission.team())
                                .map(TeamLoad::waitingProcessorMillis)
                                .orElse(0L)
                        : load.pool(submission.pool())
                                .map(pool -> pool.waiting().total())
                                .orElse(0L);
        return waiting <= 0
                ? 0
                : Math.min(
                        SHORTEST_PAUSE_MILLISECONDS,
                        wait.milliseconds() * submission.processorMillis() / waiting);
    }
}
