package org.marjoramnotch.logic.workflow;

/**
 * Mean run time of the latest runs, weighted by what they reserve: few wide runs hold a pool longer
 * than many small ones that end in the meantime.
 */
final class RunTimeMean {
    /** Share of the earlier runs that each run replaces; about a hundred runs are remembered. */
    private static final double FORGETTING = 0.01;

    private double processorTime;
    private double processor;

    void add(long processorMillis, long runMilliseconds) {
        processorTime =
                processorTime * (1 - FORGETTING) + (double) processorMillis * runMilliseconds;
        processor = processor * (1 - FORGETTING) + processorMillis;
    }

    /** Returns the mean; 0 if there were no runs. */
    double milliseconds() {
        return processor == 0 ? 0 : processorTime / processor;
    }
}
