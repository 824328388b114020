package org.marjoramnotch.logic.admission;

/**
 * Estimates the wait for free workers: a rush of wide work that fills a pool. A full pool frees its
 * capacity once in the mean run time of its tasks.
 */
final class RoomWait implements WaitEstimator {
    @Override
    public String cause() {
        return "room";
    }

    @Override
    public long estimate(Submission submission, LoadSnapshot load, AdmittedWork admitted) {
        return load.pool(submission.pool())
                .map(pool -> estimate(submission, pool, admitted))
                .orElse(0L);
    }

    private static long estimate(Submission submission, PoolLoad pool, AdmittedWork admitted) {
        int priority = submission.priority();
        long demand =
                pool.waiting().before(priority)
                        + admitted.processorMillisBefore(submission.pool(), priority)
                        + submission.processorMillis();
        long excess = demand - pool.freeProcessorMillis();
        return excess <= 0 || pool.totalProcessorMillis() <= 0
                ? 0
                : (long) (excess * pool.meanRunMilliseconds() / pool.totalProcessorMillis());
    }
}
