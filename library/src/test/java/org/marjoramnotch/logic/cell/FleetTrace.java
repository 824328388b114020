package org.marjoramnotch.logic.cell;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/** The latest events of a simulation, for the report of a failure. */
final class FleetTrace {
    private static final int MAXIMUM_LINES = 400_000;

    private final boolean enabled;
    private final LongSupplier microseconds;
    private final Deque<String> lines = new ArrayDeque<>();

    FleetTrace(boolean enabled, LongSupplier microseconds) {
        this.enabled = enabled;
        this.microseconds = microseconds;
    }

    void add(Supplier<String> line) {
        if (!enabled) {
            return;
        }
        if (lines.size() >= MAXIMUM_LINES) {
            lines.removeFirst();
        }
        double milliseconds = microseconds.getAsLong() / 1_000.0;
        lines.add(String.format(Locale.ROOT, "%.3f %s", milliseconds, line.get()));
    }

    Iterable<String> lines() {
        return lines;
    }
}
