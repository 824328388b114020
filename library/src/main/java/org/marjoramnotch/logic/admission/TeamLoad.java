package org.marjoramnotch.logic.admission;

import java.util.Optional;
import org.marjoramnotch.logic.overload.Backlog;

/**
 * The load of a team.
 *
 * @param weight its relative share when capacity is scarce
 * @param limitProcessorMillis upper limit of its running tasks; 0 for no limit
 * @param runningProcessorMillis what its running tasks have reserved
 * @param waiting processor demand of its waiting tasks
 * @param backlog its work in all pools; empty if its core time is not measured
 */
public record TeamLoad(
        long weight,
        long limitProcessorMillis,
        long runningProcessorMillis,
        WaitingWork waiting,
        Optional<Backlog> backlog) {
    /** Creates a load of the highest priority whose core time is not measured. */
    public TeamLoad(
            long weight,
            long limitProcessorMillis,
            long runningProcessorMillis,
            long waitingProcessorMillis) {
        this(
                weight,
                limitProcessorMillis,
                runningProcessorMillis,
                WaitingWork.of(0, waitingProcessorMillis),
                Optional.empty());
    }

    /** Returns the rate at which its limit serves work, in thousandths of a processor. */
    public double rate() {
        return Backlog.rate(
                limitProcessorMillis, backlog.map(Backlog::standingProcessorMillis).orElse(0.0));
    }

    /** Returns the demand of all its waiting tasks. */
    long waitingProcessorMillis() {
        return waiting.total();
    }

    /** Returns its work; if the core time is not measured, tasks take the mean run time. */
    Backlog backlog(double meanRunMilliseconds) {
        return backlog.orElseGet(
                () -> waiting.toBacklog(runningProcessorMillis, meanRunMilliseconds));
    }
}
