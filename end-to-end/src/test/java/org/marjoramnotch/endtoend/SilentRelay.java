package org.marjoramnotch.endtoend;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Forwards connections to a target. After {@link #silence}, it drops all data of the connections
 * that were open then and leaves them open, while new connections work.
 */
final class SilentRelay implements AutoCloseable {
    private static final int BUFFER_BYTES = 8_192;

    private final ServerSocket server;
    private final InetSocketAddress target;
    private final AtomicInteger connections = new AtomicInteger();
    private volatile int silencedBefore;

    SilentRelay(InetSocketAddress target) {
        this.target = target;
        try {
            server = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
        start(this::acceptAll);
    }

    InetSocketAddress address() {
        return new InetSocketAddress("127.0.0.1", server.getLocalPort());
    }

    int connections() {
        return connections.get();
    }

    /** Silences the connections that are open now. */
    void silence() {
        silencedBefore = connections.get();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    private void acceptAll() {
        while (!server.isClosed()) {
            try {
                Socket near = server.accept();
                Socket far = new Socket(target.getAddress(), target.getPort());
                int number = connections.getAndIncrement();
                start(() -> forward(number, near, far));
                start(() -> forward(number, far, near));
            } catch (IOException exception) {
                continue;
            }
        }
    }

    private void forward(int number, Socket from, Socket to) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try (from;
                to) {
            InputStream input = from.getInputStream();
            OutputStream output = to.getOutputStream();
            for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
                if (number >= silencedBefore) {
                    output.write(buffer, 0, count);
                }
            }
        } catch (IOException exception) {
            return;
        }
    }

    private static void start(Runnable work) {
        Thread thread = new Thread(work, "relay");
        thread.setDaemon(true);
        thread.start();
    }
}
