package org.marjoramnotch.model.fleet;

/**
 * What asking the placement advisor about a step of a queue costs.
 *
 * @param decisionMilliseconds time of an answer without the workers
 * @param perWorkerMilliseconds time that each named worker adds
 * @param ticketMilliseconds how long the tickets of an answer hold
 */
public record AdviceTiming(
        double decisionMilliseconds, double perWorkerMilliseconds, double ticketMilliseconds) {
    /** Of a question that is brief, the workers take at most this share of the decision's time. */
    private static final double WORKERS_SHARE_OF_DECISION = 0.5;

    /** Returns how many workers a question names that takes little longer than its decision. */
    public int workersPerShortQuestion() {
        double workers = decisionMilliseconds * WORKERS_SHARE_OF_DECISION / perWorkerMilliseconds;
        return perWorkerMilliseconds <= 0 ? Integer.MAX_VALUE : Math.max(1, (int) workers);
    }
}
