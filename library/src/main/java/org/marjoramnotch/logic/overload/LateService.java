package org.marjoramnotch.logic.overload;

/**
 * The wait of work that can't be in time, under a burst that lasts: work that can be in time is
 * served first, also if its priority is lower or it arrives later, so that late work gets only the
 * capacity that is left.
 */
public final class LateService {
    /** Late work has at least the turns of {@code OverdueStepTurns}: one round in eight. */
    private static final double LEAST_SHARE = 1.0 / 8;

    /** Later work delays late work for at most as long as bursts last: 5 to 10 s. */
    private static final double BURST_MILLISECONDS = 10_000;

    private LateService() {}

    /**
     * Returns the wait, counting work that will arrive in the meantime.
     *
     * @param wait the wait that the accepted work makes
     * @param slack the longest wait after which the work is in time
     * @param lowerPriority the time that accepted work of lower priorities needs
     * @param rate the rate at which work is served
     * @param arrivalRate the rate at which work was accepted lately, in the same unit
     */
    public static double waitMilliseconds(
            double wait, double slack, double lowerPriority, double rate, double arrivalRate) {
        if (wait <= slack || rate <= 0) {
            return wait;
        }
        double share = Math.max(LEAST_SHARE, 1 - arrivalRate / rate);
        double late = wait - slack + lowerPriority;
        return slack + Math.min(late / Math.min(1, share), late + BURST_MILLISECONDS);
    }
}
