package org.marjoramnotch.logic.placement;

/** What is known of all endpoints of a service together. */
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

    /** Counts a quarantine, unless half of the endpoints already are in one. */
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
