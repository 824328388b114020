package org.marjoramnotch.logic.placement;

import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.model.identifier.AttemptId;

/**
 * Compares an endpoint with the other endpoints of its service and quarantines it when it fails far
 * more often than they do. After a backoff the endpoint is probed with one request, whose result
 * ends the quarantine or doubles its duration.
 */
final class EndpointHealth {
    static final long INITIAL_QUARANTINE_MILLISECONDS = 1_000;
    static final long MAXIMUM_QUARANTINE_MILLISECONDS = 30_000;
    private static final double MINIMUM_FAILURES = 2.5;
    private static final double MINIMUM_FAILURE_RATIO = 0.5;
    private static final double MINIMUM_RATIO_TO_OTHERS = 3;
    private static final double FAILURE_PENALTY_FACTOR = 4;
    private static final double MAXIMUM_SLOWNESS_PENALTY = 3;

    private final AttemptStatistics statistics = new AttemptStatistics();
    private final ServiceHealth service;
    private State state = State.HEALTHY;
    private long quarantineMilliseconds = INITIAL_QUARANTINE_MILLISECONDS;
    private @Nullable AttemptId probe;

    enum State {
        HEALTHY,
        QUARANTINED,
        PROBING
    }

    EndpointHealth(ServiceHealth service) {
        this.service = service;
    }

    State state() {
        return state;
    }

    /** Returns whether the endpoint may be given an attempt. */
    boolean acceptsWork() {
        return state == State.HEALTHY || (state == State.PROBING && probe == null);
    }

    /**
     * Returns the factor by which the endpoint's load is multiplied: 1 for a healthy endpoint, more
     * for a slow or failing one, 0 for one that is waiting for a probe, so that it is preferred.
     */
    double penalty() {
        if (state == State.PROBING) {
            return 0;
        }
        double slowness = 0;
        AttemptStatistics serviceStatistics = service.statistics();
        if (statistics.hasRunTimeEstimate()
                && serviceStatistics.hasRunTimeEstimate()
                && serviceStatistics.averageRunMilliseconds() > 0) {
            slowness =
                    statistics.averageRunMilliseconds() / serviceStatistics.averageRunMilliseconds()
                            - 1;
        }
        double slownessPenalty = Math.max(0, Math.min(MAXIMUM_SLOWNESS_PENALTY, slowness));
        return 1 + FAILURE_PENALTY_FACTOR * statistics.smoothedFailureRatio() + slownessPenalty;
    }

    /** Handles the placement of an attempt on the endpoint. */
    void onPlaced(AttemptId attempt) {
        if (state == State.PROBING) {
            probe = attempt;
        }
    }

    /**
     * Handles an attempt that was not placed on the endpoint after all or ended without a result.
     */
    void onEndedWithoutResult(AttemptId attempt) {
        if (attempt.equals(probe)) {
            probe = null;
        }
    }

    /**
     * Handles the result of an attempt.
     *
     * @return the time in milliseconds to wait before {@link #startProbing}, if a quarantine begins
     */
    Optional<Long> onResult(
            long nowMilliseconds, AttemptId attempt, boolean failed, long ranMilliseconds) {
        statistics.record(nowMilliseconds, failed, ranMilliseconds);
        service.statistics().record(nowMilliseconds, failed, ranMilliseconds);
        if (state == State.HEALTHY) {
            return failed && failsMoreThanOthers() && service.tryQuarantine()
                    ? Optional.of(quarantine())
                    : Optional.empty();
        }
        if (state == State.PROBING && attempt.equals(probe)) {
            probe = null;
            return failed ? Optional.of(extendQuarantine()) : endQuarantine();
        }
        return Optional.empty();
    }

    /** Ends the backoff of a quarantine, so that the endpoint can be probed. */
    void startProbing() {
        if (state == State.QUARANTINED) {
            state = State.PROBING;
        }
    }

    private boolean failsMoreThanOthers() {
        AttemptStatistics serviceStatistics = service.statistics();
        double othersEnds = serviceStatistics.decayedEnds() - statistics.decayedEnds();
        double othersFailures =
                Math.max(0, serviceStatistics.decayedFailures() - statistics.decayedFailures());
        double othersFailureRatio = othersEnds < 1 ? 0 : othersFailures / othersEnds;
        return statistics.decayedFailures() >= MINIMUM_FAILURES
                && statistics.failureRatio() >= MINIMUM_FAILURE_RATIO
                && statistics.failureRatio() >= MINIMUM_RATIO_TO_OTHERS * othersFailureRatio;
    }

    private long quarantine() {
        state = State.QUARANTINED;
        quarantineMilliseconds = INITIAL_QUARANTINE_MILLISECONDS;
        return quarantineMilliseconds;
    }

    private long extendQuarantine() {
        state = State.QUARANTINED;
        quarantineMilliseconds =
                Math.min(MAXIMUM_QUARANTINE_MILLISECONDS, 2 * quarantineMilliseconds);
        return quarantineMilliseconds;
    }

    private Optional<Long> endQuarantine() {
        state = State.HEALTHY;
        statistics.resetFailureCounts();
        service.onQuarantineEnded();
        return Optional.empty();
    }

    /**
     * Handles a restart or removal of the endpoint: discards its failure counts and its quarantine.
     */
    void onReplaced() {
        if (state != State.HEALTHY) {
            service.onQuarantineEnded();
            state = State.HEALTHY;
        }
        statistics.resetFailureCounts();
        probe = null;
    }
}
