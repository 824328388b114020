package org.marjoramnotch.daemon;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * The addresses on which a process listens.
 *
 * @param http for callers, endpoints, workers, operators and the load balancer
 * @param link for other processes of the system; present only if the process has a replica
 */
public record DaemonAddresses(InetSocketAddress http, Optional<InetSocketAddress> link) {
    /** Formats an address as IP address and port. */
    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
