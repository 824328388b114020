package org.marjoramnotch.logic.admission;

import java.util.List;
import org.marjoramnotch.logic.overload.Backlog;
import org.marjoramnotch.logic.overload.LateService;

/**
 * Estimates the wait of a team that is at its upper limit: one team sends more than it may run. The
 * limit serves the core time of the team's work before the submission.
 */
final class TeamLimitWait implements WaitEstimator {
    @Override
    public String cause() {
        return "team_limit";
    }

    @Override
    public Wait estimate(
            long nowMilliseconds, Submission submission, LoadSnapshot load, AdmittedWork admitted) {
        TeamLoad team = load.team(submission.team()).orElse(null);
        if (team == null
                || team.limitProcessorMillis() <= 0
                || team.limitProcessorMillis() < submission.atOnceProcessorMillis()) {
            // Without a limit there is no wait; under one that is too low it can't be told.
            return Wait.NONE;
        }
        double excess =
                (double) team.runningProcessorMillis()
                        + team.waiting().before(submission.priority())
                        + admitted.processorMillisOf(submission.team(), submission.priority())
                        + submission.processorMillis()
                        - team.limitProcessorMillis();
        if (excess <= 0) {
            return Wait.NONE;
        }
        double meanRun =
                load.pool(submission.pool()).map(PoolLoad::meanRunMilliseconds).orElse(0.0);
        double rate = team.rate();
        Backlog backlog = team.backlog(meanRun);
        double wait =
                Backlog.waitMilliseconds(
                        List.of(backlog),
                        rate,
                        submission.priority(),
                        processorTime(submission, backlog, meanRun, admitted),
                        meanRun);
        double lasting =
                LateService.waitMilliseconds(
                        wait,
                        submission.slackMilliseconds(),
                        backlog.after(submission.priority()) / rate,
                        rate,
                        admitted.rateOf(nowMilliseconds, submission.team()));
        return new Wait(Math.round(wait), Math.round(lasting));
    }

    /** Returns the core time of the submission and of what is served before it. */
    private static double processorTime(
            Submission submission, Backlog backlog, double meanRun, AdmittedWork admitted) {
        double own = submission.processorTime(meanRun);
        return own
                + backlog.before(submission.priority(), own)
                + admitted.processorTimeOf(submission.team(), submission.priority(), meanRun);
    }
}
