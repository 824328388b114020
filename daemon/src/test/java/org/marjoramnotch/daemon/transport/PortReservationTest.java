package org.marjoramnotch.daemon.transport;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PortReservationTest {
    private static final int RESERVATIONS = 200;

    // A daemon could not listen, since a connection of another process had been given its port.
    @Test
    void reservedPortIsNotGivenToOutgoingConnections() throws IOException {
        Set<Integer> reserved = new HashSet<>();
        for (int count = 0; count < RESERVATIONS; count++) {
            reserved.add(PortReservation.reserve());
        }
        List<Socket> connections = new ArrayList<>();
        try (ServerSocket server = new ServerSocket(0, 64, InetAddress.getLoopbackAddress())) {
            for (int count = 0; count < RESERVATIONS; count++) {
                connections.add(new Socket(server.getInetAddress(), server.getLocalPort()));
                server.accept().close();
            }
            assertThat(connections)
                    .noneMatch(connection -> reserved.contains(connection.getLocalPort()));
        } finally {
            for (Socket connection : connections) {
                connection.close();
            }
        }
        assertThat(reserved).hasSize(RESERVATIONS).allMatch(port -> port < 32_768);
    }

    @ParameterizedTest
    @ValueSource(strings = {"127.0.0.1", "127.0.0.2", "127.0.0.3"})
    void reservedPortCanBeOpenedOnEachLoopbackAddress(String host) throws IOException {
        int port = PortReservation.reserve();
        try (ServerSocket listener = new ServerSocket()) {
            listener.bind(new InetSocketAddress(InetAddress.getByName(host), port));
            assertThat(listener.getLocalPort()).isEqualTo(port);
        }
    }
}
