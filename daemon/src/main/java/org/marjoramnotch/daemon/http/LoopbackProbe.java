package org.marjoramnotch.daemon.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/**
 * A connection of the process to its own listener. Connections are accepted in their order, so an
 * answer to this one shows that those that arrived before have been accepted. That they have also
 * begun to read is likely but not certain.
 */
final class LoopbackProbe implements AutoCloseable {
    private final Socket socket = new Socket();

    private final long endNanoseconds;

    /** Connects to a listener of this process. */
    LoopbackProbe(InetSocketAddress listener, long endNanoseconds) throws IOException {
        this.endNanoseconds = endNanoseconds;
        try {
            socket.connect(listener, millisecondsLeft());
        } catch (IOException failure) {
            socket.close();
            throw failure;
        }
    }

    /** Sends a request and waits for the first byte of its answer. */
    void exchange() throws IOException {
        String request = "GET /health/live HTTP/1.1\r\nHost: localhost\r\n\r\n";
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        socket.setSoTimeout(millisecondsLeft());
        if (socket.getInputStream().read() < 0) {
            throw new IOException("The listener closed the connection without an answer.");
        }
    }

    private int millisecondsLeft() {
        long left = TimeUnit.NANOSECONDS.toMillis(endNanoseconds - System.nanoTime());
        return Math.toIntExact(Math.max(1, left));
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
