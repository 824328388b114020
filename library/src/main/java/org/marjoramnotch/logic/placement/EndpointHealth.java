package org.marjoramnotch.logic.placement;

import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.model.identifier.AttemptId;

/**
 * Weighs an endpoint against the others of its service and quarantines it when it fails far more
 * than they do. After a backoff it is probed with one request; the result ends or doubles the
 * quarantine.
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

    /** Tells whether the endpoint may be given an attempt. */
    boolean acceptsWork() {
        return state == State.HEALTHY || (state == State.PROBING && probe == null);
    }

    /** Returns the factor that its load counts by; 1 for a healthy one. */
    double penalty() {
        if (state == State.PROBING) {
            return 0;
        }
        double slow = 0;
        AttemptStatistics all = service.statistics();
        if (statistics.hasRunTimeEstimate()
                && all.hasRunTimeEstimate()
                && all.averageRunMilliseconds() > 0) {
            slow = statistics.averageRunMilliseconds() / all.averageRunMilliseconds() - 1;
        }
        double slowWeight = Math.max(0, Math.min(MAXIMUM_SLOWNESS_PENALTY, slow));
        return 1 + FAILURE_PENALTY_FACTOR * statistics.smoothedFailureRatio() + slowWeight;
    }

    /** Takes an attempt that is being placed on it. */
    void onPlaced(AttemptId attempt) {
        if (state == State.PROBING) {
            probe = attempt;
        }
    }

    /** Takes an attempt that was not placed on it after all, or ended without a result. */
    void onEndedWithoutResult(AttemptId attempt) {
        if (attempt.equals(probe)) {
            probe = null;
        }
    }

    /**
     * Takes the result of an attempt.
     *
     * @return how long to wait before {@link #startProbing}, if a quarantine begins
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

    /** Ends the backoff of a quarantine. */
    void startProbing() {
        if (state == State.QUARANTINED) {
            state = State.PROBING;
        }
    }

    private boolean failsMoreThanOthers() {
        AttemptStatistics all = service.statistics();
        double othersEnds = all.decayedEnds() - statistics.decayedEnds();
        double othersFailures = Math.max(0, all.decayedFailures() - statistics.decayedFailures());
        double others = othersEnds < 1 ? 0 : othersFailures / othersEnds;
        return statistics.decayedFailures() >= MINIMUM_FAILURES
                && statistics.failureRatio() >= MINIMUM_FAILURE_RATIO
                && statistics.failureRatio() >= MINIMUM_RATIO_TO_OTHERS * others;
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

    /** Takes that the endpoint restarted or is gone: what was learned of it is dropped. */
    void onReplaced() {
        if (state != State.HEALTHY) {
            service.onQuarantineEnded();
            state = State.HEALTHY;
        }
        statistics.resetFailureCounts();
        probe = null;
    }
}
