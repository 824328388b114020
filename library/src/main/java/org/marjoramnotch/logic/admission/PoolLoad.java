package org.marjoramnotch.logic.admission;

/**
 * The load of a pool of workers.
 *
 * @param totalProcessorMillis capacity of its usable workers, in thousandths of a processor
 * @param freeProcessorMillis what no task has reserved
 * @param meanRunMilliseconds mean run time of its tasks, weighted by their size; 0 if not known
 * @param waiting processor demand of the waiting tasks that no limit of a team holds back
 */
public record PoolLoad(
        long totalProcessorMillis,
        long freeProcessorMillis,
        double meanRunMilliseconds,
        WaitingWork waiting) {}
