package org.marjoramnotch.model.message;

import org.marjoramnotch.model.endpoint.StoredAnswer;

/**
 * Returns the stored answer of an earlier request with the same idempotency key.
 *
 * @param answer the answer of the earlier request
 */
public record Replayed(StoredAnswer answer) implements CellReply {}
