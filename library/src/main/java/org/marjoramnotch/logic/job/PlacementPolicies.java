package org.marjoramnotch.logic.job;

import java.util.EnumMap;
import java.util.Map;
import org.marjoramnotch.model.rule.QueuePolicy;

/** Maps each queue policy to a placement policy. */
final class PlacementPolicies {
    private final Map<QueuePolicy, PlacementPolicy> policies = new EnumMap<>(QueuePolicy.class);

    PlacementPolicies(QueueOrder order) {
        boolean baseline = order == QueueOrder.FIRST_COME;
        PlacementPolicy batch = baseline ? new FirstFitPolicy() : new BatchPolicy();
        policies.put(QueuePolicy.BATCH, batch);
        policies.put(QueuePolicy.GANG, new GangPolicy(batch));
        policies.put(QueuePolicy.SERVICE, baseline ? batch : new ServicePolicy());
    }

    PlacementPolicy of(QueuePolicy policy) {
        PlacementPolicy found = policies.get(policy);
        if (found == null) {
            throw new IllegalArgumentException(
                    "Queues of this policy do not accept jobs: " + policy);
        }
        return found;
    }
}
