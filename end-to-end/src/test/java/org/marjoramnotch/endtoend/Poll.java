package org.marjoramnotch.endtoend;

import java.io.UncheckedIOException;
import java.util.function.BooleanSupplier;

/** Waits for conditions on other processes, for a limited time. */
final class Poll {
    private static final int MAXIMUM_TRIES = 600;
    private static final long PAUSE_MILLISECONDS = 100;

    private Poll() {}

    static void until(String what, BooleanSupplier reached) {
        for (int attempt = 0; attempt < MAXIMUM_TRIES; attempt++) {
            if (isReached(reached)) {
                return;
            }
            pause(PAUSE_MILLISECONDS);
        }
        throw new AssertionError("Not reached: " + what);
    }

    private static boolean isReached(BooleanSupplier reached) {
        try {
            return reached.getAsBoolean();
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
