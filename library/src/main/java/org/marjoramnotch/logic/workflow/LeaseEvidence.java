package org.marjoramnotch.logic.workflow;

import java.util.OptionalLong;

/**
 * What a leader knows about the lease of a worker, for logs. Times of the leader are ages.
 *
 * @param reading the latest reading of the worker's clock; empty if there is none in this term
 * @param readingAge the time since the answer with the reading, or since the term began
 * @param grantedUntil the end of the longest lease on the worker's clock; empty without a reading
 * @param longestEarlierGrant the longest lease that the worker may have held at the first answer
 * @param ownGrantAge the time since the last grant of this leader; empty if it granted none
 */
record LeaseEvidence(
        OptionalLong reading,
        long readingAge,
        OptionalLong grantedUntil,
        long longestEarlierGrant,
        OptionalLong ownGrantAge) {}
