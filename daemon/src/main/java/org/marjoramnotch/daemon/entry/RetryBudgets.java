package org.marjoramnotch.daemon.entry;

import java.util.LinkedHashMap;
import java.util.Map;
import org.marjoramnotch.logic.entry.EntryRequest;
import org.marjoramnotch.logic.entry.RetryBudget;

/**
 * Holds a retry budget for each key or, for requests without a key, each queue, because an entry
 * learns the team of a caller only from a grant. Evicts the least recently used budgets. Must be
 * used by one thread only.
 */
final class RetryBudgets {
    private static final int MAXIMUM_BUDGETS = 10_000;
    private static final float LOAD_FACTOR = 0.75f;

    private final Map<String, RetryBudget> budgets =
            new LinkedHashMap<>(16, LOAD_FACTOR, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, RetryBudget> eldest) {
                    return size() > MAXIMUM_BUDGETS;
                }
            };

    /** Returns the budget of a request. */
    RetryBudget budgetFor(EntryRequest request) {
        String name =
                request.credential()
                        .map(credential -> "key " + credential.key())
                        .orElseGet(() -> "queue " + request.queue());
        return budgets.computeIfAbsent(name, ignored -> RetryBudget.withDefaults());
    }
}
