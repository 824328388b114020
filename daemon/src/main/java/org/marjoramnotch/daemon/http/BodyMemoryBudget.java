package org.marjoramnotch.daemon.http;

import java.util.concurrent.atomic.AtomicLong;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;

/** Bounds the bytes of all request bodies that this process holds at once. */
final class BodyMemoryBudget {
    private final AtomicLong free;

    BodyMemoryBudget(long bytes) {
        free = new AtomicLong(bytes);
    }

    /**
     * Takes bytes from the budget.
     *
     * @throws MarjoramnotchException with {@code OVERLOADED} if too few are left
     */
    void reserve(long bytes) {
        if (free.addAndGet(-bytes) < 0) {
            free.addAndGet(bytes);
            throw new MarjoramnotchException(
                    ErrorCode.OVERLOADED,
                    "This entry holds as many bytes of requests as it may; retry after a pause.");
        }
    }

    /** Gives bytes back. */
    void release(long bytes) {
        free.addAndGet(bytes);
    }
}
