package org.marjoramnotch.daemon.log;

import java.io.IOException;
import java.io.OutputStream;
import org.jspecify.annotations.Nullable;

/** Writes the lines of a queue to a stream, in a thread of its own that alone may wait for it. */
final class LineWriter implements Runnable {
    /** Pause after a failed write, as to a closed pipe. */
    private static final long FAILURE_PAUSE_MILLISECONDS = 1_000;

    private final LineQueue queue;
    private final OutputStream output;

    /** Requested by a thread that can allocate nothing; written before anything else. */
    private volatile byte @Nullable [] last;

    private volatile boolean lastWritten;

    LineWriter(LineQueue queue, OutputStream output) {
        this.queue = queue;
        this.output = output;
    }

    @Override
    public void run() {
        try {
            while (true) {
                byte[] batch = queue.take();
                writeLast();
                if (batch != null && !write(batch)) {
                    queue.onWriteFailed(batch);
                    Thread.sleep(FAILURE_PAUSE_MILLISECONDS);
                }
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Asks for bytes to be written next; allocates nothing. */
    void requestLast(byte[] bytes) {
        last = bytes;
    }

    boolean isLastWritten() {
        return lastWritten;
    }

    private void writeLast() {
        byte[] requested = last;
        if (requested != null && !lastWritten) {
            lastWritten = write(requested);
        }
    }

    private boolean write(byte[] bytes) {
        try {
            output.write(bytes);
            output.flush();
            return true;
        } catch (IOException unwritable) {
            // Reported by the line about dropped lines, once the stream takes lines again.
            return false;
        }
    }
}
