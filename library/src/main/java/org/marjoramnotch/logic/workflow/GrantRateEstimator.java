package org.marjoramnotch.logic.workflow;

import java.util.HashMap;
import java.util.Map;
import org.marjoramnotch.model.identifier.QueueName;

/** Estimates the fraction of workers that the placement advisor grants to the steps of a queue. */
final class GrantRateEstimator {
    /** The initial estimate is one half, with the weight of this many workers asked about. */
    private static final double PRIOR_ASKED = 10;

    private static final double PRIOR_GRANTED = 5;

    private record Count(double asked, double granted) {
        Count plus(Count other) {
            return new Count(asked + other.asked, granted + other.granted);
        }
    }

    private final Map<QueueName, Count> byQueue = new HashMap<>();

    void onAnswer(QueueName queue, int asked, int granted) {
        byQueue.merge(queue, new Count(asked, granted), Count::plus);
    }

    double estimate(QueueName queue) {
        Count count = byQueue.getOrDefault(queue, new Count(0, 0));
        return (count.granted() + PRIOR_GRANTED) / (count.asked() + PRIOR_ASKED);
    }
}
