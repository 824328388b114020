package org.marjoramnotch.daemon.settings;

import java.util.Optional;

/**
 * Where an adapter to an outside platform listens and whom it calls, each as IP number and port.
 *
 * @param callers where callers hand in workflows
 * @param readiness where the balancer asks whether this process takes work
 * @param control where workers report and operators change the configuration
 * @param advisor the placement advisor
 */
public record AdapterAddresses(
        Optional<String> callers,
        Optional<String> readiness,
        Optional<String> control,
        Optional<String> advisor) {
    /** Returns no addresses. */
    public static AdapterAddresses none() {
        return new AdapterAddresses(
                Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty());
    }
}
