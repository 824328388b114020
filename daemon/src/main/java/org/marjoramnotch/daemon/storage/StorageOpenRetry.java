package org.marjoramnotch.daemon.storage;

import java.io.IOException;
import java.nio.file.AccessDeniedException;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.NoSuchFileException;
import java.nio.file.NotDirectoryException;
import java.util.List;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import org.jboss.logging.Logger;
import org.marjoramnotch.daemon.log.LogEvent;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;

/** Opens storage at the start of a process, and retries for as long as the disk refuses. */
public final class StorageOpenRetry {
    /**
     * The pause between attempts. Without retries, the process would exit and restart again and
     * again while the disk refuses.
     */
    static final long RETRY_PAUSE_MILLISECONDS = 250;

    /** Failures that only a change of the settings or of the folder's permissions can resolve. */
    private static final List<Class<? extends IOException>> PERMANENT_FAILURES =
            List.of(
                    AccessDeniedException.class,
                    FileAlreadyExistsException.class,
                    NoSuchFileException.class,
                    NotDirectoryException.class);

    private static final Logger LOGGER = Logger.getLogger(StorageOpenRetry.class);

    private StorageOpenRetry() {}

    /**
     * Repeats an attempt while the disk is full or fails.
     *
     * @param pause waits for the given number of milliseconds
     */
    public static <T> T retry(Supplier<T> attempt, LongConsumer pause) {
        int failedAttempts = 0;
        while (true) {
            try {
                T opened = attempt.get();
                if (failedAttempts > 0) {
                    LogEvent.of("disk_takes_writes")
                            .with("attempts", failedAttempts + 1)
                            .warn(LOGGER);
                }
                return opened;
            } catch (MarjoramnotchException failure) {
                if (!isTransient(failure)) {
                    throw failure;
                }
                if (failedAttempts == 0) {
                    LogEvent.of("disk_refuses_writes")
                            .with("message", failure.getMessage())
                            .warn(LOGGER);
                }
            }
            failedAttempts++;
            pause.accept(RETRY_PAUSE_MILLISECONDS);
        }
    }

    private static boolean isTransient(MarjoramnotchException failure) {
        return failure.code() == ErrorCode.STORAGE_FAILED
                && failure.getCause() instanceof IOException cause
                && PERMANENT_FAILURES.stream().noneMatch(type -> type.isInstance(cause));
    }
}
