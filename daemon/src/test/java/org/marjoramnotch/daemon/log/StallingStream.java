package org.marjoramnotch.daemon.log;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** A stream like a pipe whose reader stalls, is slow, or has closed it. */
final class StallingStream extends OutputStream {
    private final ByteArrayOutputStream taken = new ByteArrayOutputStream();
    private boolean stalled;
    private boolean closed;
    private long pauseMilliseconds;

    synchronized void behave(boolean isStalled, boolean isClosed, long pause) {
        stalled = isStalled;
        closed = isClosed;
        pauseMilliseconds = pause;
    }

    /** Reads everything from now on. */
    synchronized void read() {
        behave(false, false, 0);
        notifyAll();
    }

    synchronized List<String> lines() {
        return taken.toString(StandardCharsets.UTF_8).lines().toList();
    }

    synchronized int size() {
        return taken.size();
    }

    @Override
    public void write(int value) throws IOException {
        write(new byte[] {(byte) value}, 0, 1);
    }

    @Override
    public synchronized void write(byte[] bytes, int offset, int length) throws IOException {
        if (closed) {
            throw new IOException("Broken pipe");
        }
        try {
            while (stalled) {
                wait();
            }
            if (pauseMilliseconds > 0) {
                wait(pauseMilliseconds);
            }
        } catch (InterruptedException interrupted) {
            throw new IOException(interrupted);
        }
        taken.write(bytes, offset, length);
    }
}
