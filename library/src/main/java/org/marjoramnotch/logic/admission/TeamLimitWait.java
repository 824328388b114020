package org.marjoramnotch.logic.admission;

/**
 * Estimates the wait of a team that is at its upper limit: one team sends more than it may run. The
 * limit frees itself once in the mean run time of the tasks.
 */
final class TeamLimitWait implements WaitEstimator {
    @Override
    public String cause() {
        return "team_limit";
    }

    @Override
    public long estimate(Submission submission, LoadSnapshot load, AdmittedWork admitted) {
        double meanRun =
                load.pool(submission.pool()).map(PoolLoad::meanRunMilliseconds).orElse(0.0);
        return load.team(submission.team())
                .filter(team -> team.limitProcessorMillis() > 0)
                .map(team -> excess(submission, team, admitted) * meanRun / limitOf(team))
                .map(Double::longValue)
                .orElse(0L);
    }

    private static long excess(Submission submission, TeamLoad team, AdmittedWork admitted) {
        long demand =
                team.runningProcessorMillis()
                        + team.waitingProcessorMillis()
                        + admitted.processorMillisOf(submission.team())
                        + submission.processorMillis();
        return Math.max(0, demand - team.limitProcessorMillis());
    }

    private static double limitOf(TeamLoad team) {
        return team.limitProcessorMillis();
    }
}
