package org.marjoramnotch.logic.admission;

/**
 * Estimates the wait for tickets: a rush of quick steps, of which each needs answers of the
 * placement advisor. The advisor takes one question at a time from each daemon.
 */
final class AdvisorWait implements WaitEstimator {
    @Override
    public String cause() {
        return "advice";
    }

    @Override
    public Wait estimate(
            long nowMilliseconds, Submission submission, LoadSnapshot load, AdmittedWork admitted) {
        AdvisorLoad advisor = load.advisor();
        int priority = submission.priority();
        long steps = advisor.waiting().before(priority) + admitted.advisedBefore(priority);
        if (!submission.advised() || advisor.daemons() == 0 || steps < advisor.idleDaemons()) {
            return Wait.NONE;
        }
        double stepMilliseconds =
                advisor.questionsPerStep() * advisor.questionMilliseconds() / advisor.daemons();
        long wait = (long) (steps * stepMilliseconds);
        return new Wait(wait, wait);
    }
}
