package org.marjoramnotch.daemon;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * Where a process is reached.
 *
 * @param http for callers, endpoints, workers, operators and the balancer
 * @param link for other processes of the system; only a process with a replica listens
 */
public record DaemonAddresses(InetSocketAddress http, Optional<InetSocketAddress> link) {
    /** Returns an address as IP number and port. */
    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
