package org.marjoramnotch.daemon.transport;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Reserves ports on loopback for daemons whose settings must name a port before they open it. A
 * reserved port is neither given to outgoing connections, nor reserved again by any process while
 * this one runs.
 */
public final class PortReservation {
    /** Below the ports that operating systems give to outgoing connections. */
    private static final int LOWEST_PORT = 20_000;

    private static final int HIGHEST_PORT = 32_000;

    /** No daemon listens on this address, so that its ports can show what is reserved. */
    private static final String MARKER_HOST = "127.255.0.1";

    /** Open until the process ends. */
    private static final List<ServerSocket> MARKERS = new ArrayList<>();

    private PortReservation() {}

    /**
     * Reserves a port on which nothing listens.
     *
     * @throws IOException if all ports are reserved or in use
     */
    public static synchronized int reserve() throws IOException {
        int ports = HIGHEST_PORT - LOWEST_PORT;
        int first = ThreadLocalRandom.current().nextInt(ports);
        for (int offset = 0; offset < ports; offset++) {
            int port = LOWEST_PORT + (first + offset) % ports;
            if (isUnused(port) && mark(port)) {
                return port;
            }
        }
        throw new IOException(
                "No port from " + LOWEST_PORT + " to " + HIGHEST_PORT + " is free on loopback.");
    }

    private static boolean isUnused(int port) {
        try (ServerSocket probe = new ServerSocket(port)) {
            return probe.isBound();
        } catch (IOException inUse) {
            return false;
        }
    }

    private static boolean mark(int port) throws IOException {
        ServerSocket marker = new ServerSocket();
        try {
            marker.bind(new InetSocketAddress(InetAddress.getByName(MARKER_HOST), port));
        } catch (IOException reservedElsewhere) {
            marker.close();
            return false;
        }
        return MARKERS.add(marker);
    }
}
