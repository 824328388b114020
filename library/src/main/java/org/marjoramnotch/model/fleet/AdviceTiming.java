package org.marjoramnotch.model.fleet;

/**
 * Time costs of the placement advisor's answers about steps of a queue.
 *
 * @param decisionMilliseconds time for an answer, not counting the named workers
 * @param perWorkerMilliseconds time that each named worker adds to the answer
 * @param ticketMilliseconds how long the tickets of an answer are valid
 */
public record AdviceTiming(
        double decisionMilliseconds, double perWorkerMilliseconds, double ticketMilliseconds) {
    /** In a short question, the named workers add at most this fraction of the decision time. */
    private static final double WORKERS_SHARE_OF_DECISION = 0.5;

    /**
     * Returns how many workers a question may name without taking much longer than the decision
     * itself.
     */
    public int workersPerShortQuestion() {
        double workers = decisionMilliseconds * WORKERS_SHARE_OF_DECISION / perWorkerMilliseconds;
        return perWorkerMilliseconds <= 0 ? Integer.MAX_VALUE : Math.max(1, (int) workers);
    }
}
