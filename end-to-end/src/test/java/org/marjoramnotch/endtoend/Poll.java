package org.marjoramnotch.endtoend;

import java.io.UncheckedIOException;
import java.util.function.BooleanSupplier;

/** Waits for conditions on other processes, for a limited time. */
final class Poll {
    private static final int MAXIMUM_TRIES = 600;
    private static final long PAUSE_MILLISECONDS = 100;

    private Poll() {}

    static void until(String description, BooleanSupplier condition) {
        for (int attempt = 0; attempt < MAXIMUM_TRIES; attempt++) {
            if (isReached(condition)) {
                return;
            }
            pause(PAUSE_MILLISECONDS);
        }
        throw new AssertionError("Not reached: " + description);
    }

    private static boolean isReached(BooleanSupplier condition) {
        try {
            return condition.getAsBoolean();
        } catch (UncheckedIOException exception) {
            return false;
        }
    }

    /** Pauses the calling thread. */
    static void pause(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException exception) {
            throw new IllegalStateException(exception);
        }
    }
}
