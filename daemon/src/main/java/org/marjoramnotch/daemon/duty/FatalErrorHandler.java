package org.marjoramnotch.daemon.duty;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.daemon.log.LogEvent;
import org.marjoramnotch.daemon.log.ProcessOutput;

/**
 * Ends the process when a thread fails, since its state may be inconsistent and its work is no
 * longer done.
 */
public final class FatalErrorHandler
        implements Consumer<Throwable>, Thread.UncaughtExceptionHandler {
    /** Exit code after an invariant was violated, the storage failed or memory ran out. */
    public static final int EXIT_CODE = 70;

    /** More than a log line with a stack trace takes. */
    private static final int RESERVE_BYTES = 256 * 1024;

    /** Written in place of the log line if memory has run out. */
    private static final byte[] SHORT_LINE =
            ("event=thread_failed exit_code=" + EXIT_CODE + " message=\"out of memory\" thread=")
                    .getBytes(StandardCharsets.US_ASCII);

    private static final Logger LOGGER = Logger.getLogger(FatalErrorHandler.class);

    /** Time for the last lines, which the reader of the logs may not take. */
    private static final long DRAIN_MILLISECONDS = 500;

    private static final int LAST_LINE_BYTES = 256;

    private final FileOutputStream output = new FileOutputStream(FileDescriptor.out);
    private final byte[] lastLine = new byte[LAST_LINE_BYTES];

    /** Freed before anything is written, since memory may have run out. */
    private volatile byte @Nullable [] reserve = new byte[RESERVE_BYTES];

    /** Ends the process because of a failure of the calling thread. */
    @Override
    public void accept(Throwable cause) {
        // Freed first: even the first use of a string constant takes memory.
        reserve = null;
        end("duty_failed", Thread.currentThread(), cause);
    }

    @Override
    public void uncaughtException(Thread thread, Throwable cause) {
        reserve = null;
        end("thread_failed", thread, cause);
    }

    private void end(String event, Thread thread, Throwable cause) {
        try {
            if (cause instanceof VirtualMachineError) {
                // Writing a log line allocates memory, and did not end in a process without any.
                writeShortLine(thread);
                return;
            }
            LogEvent.of(event)
                    .with("thread", thread.getName())
                    .with("exit_code", EXIT_CODE)
                    .with("message", cause.getMessage())
                    .error(LOGGER, cause);
            ProcessOutput.drain(DRAIN_MILLISECONDS);
        } catch (Throwable unlogged) {
            writeShortLine(thread);
        } finally {
            Runtime.getRuntime().halt(EXIT_CODE);
        }
    }

    /** Writes the line without allocating memory. */
    private void writeShortLine(Thread thread) {
        Arrays.fill(lastLine, (byte) ' ');
        System.arraycopy(SHORT_LINE, 0, lastLine, 0, SHORT_LINE.length);
        String name = thread.getName();
        int nameLength = Math.min(name.length(), LAST_LINE_BYTES - SHORT_LINE.length - 1);
        for (int index = 0; index < nameLength; index++) {
            lastLine[SHORT_LINE.length + index] = (byte) name.charAt(index);
        }
        lastLine[LAST_LINE_BYTES - 1] = '\n';
        if (ProcessOutput.writeLast(lastLine)) {
            return;
        }
        try {
            output.write(lastLine);
        } catch (IOException unwritable) {
            // The exit code remains.
            return;
        }
    }
}
