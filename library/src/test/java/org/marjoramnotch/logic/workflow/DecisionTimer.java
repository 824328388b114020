package org.marjoramnotch.logic.workflow;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import org.HdrHistogram.Histogram;

/** Measures the processor time that a duty uses for its decisions. */
final class DecisionTimer {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private final Histogram rounds = new Histogram(3);
    private long nanoseconds;

    /** Runs a decision and adds its time. */
    void decision(Runnable decision) {
        long start = THREADS.getCurrentThreadCpuTime();
        decision.run();
        nanoseconds += THREADS.getCurrentThreadCpuTime() - start;
    }

    /** Runs the decisions at the end of a batch and records their time as a scheduling round. */
    void round(Runnable decisions) {
        long start = THREADS.getCurrentThreadCpuTime();
        decisions.run();
        long spent = THREADS.getCurrentThreadCpuTime() - start;
        nanoseconds += spent;
        rounds.recordValue(spent);
    }

    /** Returns the processor time of all decisions since the last reset. */
    long nanoseconds() {
        return nanoseconds;
    }

    /**
     * Returns the processor times of the scheduling rounds since the last reset, in nanoseconds.
     */
    Histogram rounds() {
        return rounds;
    }

    void reset() {
        rounds.reset();
        nanoseconds = 0;
    }
}
