package org.marjoramnotch.daemon.settings;

import java.util.Optional;

/**
 * The addresses of an adapter to an outside platform, each as IP address and port.
 *
 * @param callers listens for workflows of callers
 * @param readiness listens for the load balancer's check whether this process accepts work
 * @param control listens for reports of workers and changes of the configuration
 * @param advisor the address of the placement advisor
 */
public record AdapterAddresses(
        Optional<String> callers,
        Optional<String> readiness,
        Optional<String> control,
        Optional<String> advisor) {
    /** Returns settings without any address. */
    public static AdapterAddresses none() {
        return new AdapterAddresses(
                Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty());
    }
}
