package org.marjoramnotch.logic.placement;

/** What is known of all endpoints of a service together. */
final class ServiceHealth {
    private static final int LEAST_HEALTHY_DIVISOR = 2;

    private final RunAverages averages = new RunAverages();
    private int endpoints;
    private int quarantined;

    RunAverages averages() {
        return averages;
    }

    void onEndpointAdded() {
        endpoints++;
    }

    void onEndpointRemoved() {
        endpoints--;
    }

    /** Counts a quarantine, unless half of the endpoints already are in one. */
    boolean tryQuarantine() {
        if (quarantined >= endpoints / LEAST_HEALTHY_DIVISOR) {
            return false;
        }
        quarantined++;
        return true;
    }

    void onQuarantineEnded() {
        quarantined--;
    }
}
