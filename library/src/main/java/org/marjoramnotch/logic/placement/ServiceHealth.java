package org.marjoramnotch.logic.placement;

/** The combined health of all endpoints of a service. */
final class ServiceHealth {
    private static final int QUARANTINE_LIMIT_DIVISOR = 2;

    private final AttemptStatistics statistics = new AttemptStatistics();
    private int endpoints;
    private int quarantined;

    AttemptStatistics statistics() {
        return statistics;
    }

    void onEndpointAdded() {
        endpoints++;
    }

    void onEndpointRemoved() {
        endpoints--;
    }

    /**
     * Counts a quarantine and returns true, unless half of the endpoints are already quarantined.
     */
    boolean tryQuarantine() {
        if (quarantined >= endpoints / QUARANTINE_LIMIT_DIVISOR) {
            return false;
        }
        quarantined++;
        return true;
    }

    void onQuarantineEnded() {
        quarantined--;
    }
}
