package org.marjoramnotch.daemon.log;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.daemon.duty.SystemClock;

/**
 * The standard output of the process. Once it is installed, no thread of the process waits for the
 * reader of the logs, whatever it writes to the log, to {@code System.out} or to {@code
 * System.err}. What the Java virtual machine itself prints is not covered.
 */
public final class ProcessOutput {
    /** A few seconds of a busy leader's lines. */
    private static final int CAPACITY_BYTES = 256 * 1024;

    private static final int BATCH_BYTES = 8 * 1024;
    private static final long LAST_LINE_MILLISECONDS = 500;
    private static final long LAST_LINE_POLL_MILLISECONDS = 5;

    private static volatile @Nullable ProcessOutput installed;

    private final LineQueue queue =
            new LineQueue(
                    CAPACITY_BYTES, BATCH_BYTES, new SystemClock(), System::currentTimeMillis);
    private final OutputStream stream = new FileOutputStream(FileDescriptor.out);
    private final LineWriter writer = new LineWriter(queue, stream);

    private ProcessOutput() {}

    /** Installs the queue and its thread, unless this was done before. */
    public static synchronized void install() {
        if (installed != null) {
            return;
        }
        ProcessOutput output = new ProcessOutput();
        Thread thread = new Thread(output.writer, "log");
        thread.setDaemon(true);
        thread.start();
        System.setOut(output.printStream());
        System.setErr(output.printStream());
        installed = output;
    }

    /**
     * Waits for a limited time until all lines so far are written; to be called before the process
     * ends.
     */
    public static void drain(long limitMilliseconds) {
        ProcessOutput output = installed;
        if (output != null) {
            output.queue.drain(limitMilliseconds);
        }
    }

    /**
     * Writes bytes before all lines that wait, for a limited time, without allocating memory.
     *
     * @return false if nothing is installed
     */
    public static boolean writeLast(byte[] bytes) {
        ProcessOutput output = installed;
        if (output == null) {
            return false;
        }
        output.writer.requestLast(bytes);
        long rest = LAST_LINE_MILLISECONDS;
        while (rest > 0 && !output.writer.isLastWritten()) {
            output.queue.drain(LAST_LINE_POLL_MILLISECONDS);
            rest -= LAST_LINE_POLL_MILLISECONDS;
        }
        return true;
    }

    /** Returns how many log lines were dropped so far, by event. */
    public static Map<String, Long> droppedLines() {
        ProcessOutput output = installed;
        return output == null ? Map.of() : output.queue.dropped();
    }

    /** Returns where log lines go. */
    static LineSink sink() {
        ProcessOutput output = installed;
        return output == null ? new DirectSink(System.out) : output.queue;
    }

    private PrintStream printStream() {
        return new PrintStream(new LineStream(queue), true, StandardCharsets.UTF_8);
    }

    /** Writes on the calling thread, where the library runs inside another program. */
    private record DirectSink(PrintStream stream) implements LineSink {
        @Override
        public void write(LinePriority priority, byte[] line) {
            stream.write(line, 0, line.length);
            stream.flush();
        }
    }
}
