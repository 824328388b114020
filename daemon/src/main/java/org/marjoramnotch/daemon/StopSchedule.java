package org.marjoramnotch.daemon;

import org.marjoramnotch.daemon.settings.DaemonLimits;

/**
 * The latest ends of the steps of a stop, so that all of them end before the process is killed.
 *
 * @param serviceEndMilliseconds when requests are no longer served but refused
 * @param answersEndMilliseconds when open calls are answered without their outcomes
 * @param connectionsEndMilliseconds when the remaining connections are cut
 * @param endMilliseconds when the process ends without waiting for anything
 */
record StopSchedule(
        long serviceEndMilliseconds,
        long answersEndMilliseconds,
        long connectionsEndMilliseconds,
        long endMilliseconds) {
    private static final double SERVICE_SHARE = 0.4;
    private static final double ANSWERS_SHARE = 0.6;
    private static final double CONNECTIONS_SHARE = 0.7;
    private static final double TOTAL_SHARE = 0.8;
    private static final long MAXIMUM_CLOSE_MILLISECONDS = 2_000;
    private static final long MAXIMUM_TERMINATION_MILLISECONDS = 2_000;

    /**
     * Divides the time that is left before the process is killed.
     *
     * @param now when the process was told to stop
     * @param readinessGrace the time that load balancers need to notice the stop
     */
    static StopSchedule of(long now, long readinessGrace, DaemonLimits limits) {
        double grace = limits.graceSeconds() * 1_000;
        long serviceEnd = now + Math.min(readinessGrace, (long) (SERVICE_SHARE * grace));
        long answersEnd =
                Math.min(
                        serviceEnd + limits.stopMilliseconds(),
                        now + (long) (ANSWERS_SHARE * grace));
        long connectionsEnd =
                Math.min(
                        answersEnd + MAXIMUM_CLOSE_MILLISECONDS,
                        now + (long) (CONNECTIONS_SHARE * grace));
        long end =
                Math.min(
                        connectionsEnd + MAXIMUM_TERMINATION_MILLISECONDS,
                        now + (long) (TOTAL_SHARE * grace));
        return new StopSchedule(serviceEnd, answersEnd, connectionsEnd, end);
    }
}
