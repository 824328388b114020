package org.marjoramnotch.daemon.http;

import java.util.concurrent.atomic.AtomicLong;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;

/** Limits the total size of the request bodies that this process holds in memory at once. */
final class BodyMemoryBudget {
    private final AtomicLong free;

    BodyMemoryBudget(long bytes) {
        free = new AtomicLong(bytes);
    }

    /**
     * Reserves bytes.
     *
     * @throws MarjoramnotchException with {@code OVERLOADED} if the budget has fewer bytes left
     */
    void reserve(long bytes) {
        if (free.addAndGet(-bytes) < 0) {
            free.addAndGet(bytes);
            throw new MarjoramnotchException(
                    ErrorCode.OVERLOADED,
                    "This entry has reached its limit for request bodies; retry after a pause.");
        }
    }

    /** Releases reserved bytes. */
    void release(long bytes) {
        free.addAndGet(bytes);
    }
}
