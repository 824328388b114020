package org.marjoramnotch.daemon.duty;

import java.util.Optional;
import org.jboss.logging.Logger;
import org.marjoramnotch.daemon.log.LogEvent;
import org.marjoramnotch.logic.cell.CellCore;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;

/** A period in which the disk refuses writes. It is retried at intervals until it accepts them. */
final class DiskOutage {
    /** Pause between attempts; short compared with an election, which takes a second or more. */
    static final long RETRY_MILLISECONDS = 250;

    private static final Logger LOGGER = Logger.getLogger(DiskOutage.class);

    private final CellStorage storage;
    private final long startedMilliseconds;
    private long nextAttemptMilliseconds;
    private int attempts;

    DiskOutage(CellStorage storage, long nowMilliseconds, MarjoramnotchException refusal) {
        this.storage = storage;
        this.startedMilliseconds = nowMilliseconds;
        this.nextAttemptMilliseconds = nowMilliseconds + RETRY_MILLISECONDS;
        LogEvent.of("disk_refuses_writes").with("message", refusal.getMessage()).warn(LOGGER);
    }

    /** Returns whether the error is due to the disk and not to damaged stored state. */
    static boolean isStorageFailure(MarjoramnotchException failure) {
        return failure.code() == ErrorCode.STORAGE_FAILED;
    }

    /** Returns a new core once the disk accepts writes again. */
    Optional<CellCore> tryReopen(long nowMilliseconds) {
        if (nowMilliseconds < nextAttemptMilliseconds) {
            return Optional.empty();
        }
        attempts++;
        nextAttemptMilliseconds = nowMilliseconds + RETRY_MILLISECONDS;
        try {
            CellCore core = storage.reopen(startedMilliseconds, nowMilliseconds);
            LogEvent.of("disk_takes_writes")
                    .with("refused_ms", nowMilliseconds - startedMilliseconds)
                    .with("attempts", attempts)
                    .warn(LOGGER);
            return Optional.of(core);
        } catch (MarjoramnotchException failure) {
            if (!isStorageFailure(failure)) {
                throw failure;
            }
            return Optional.empty();
        }
    }
}
