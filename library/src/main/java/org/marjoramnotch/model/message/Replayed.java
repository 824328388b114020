package org.marjoramnotch.model.message;

import org.marjoramnotch.model.endpoint.StoredAnswer;

/**
 * The request of the same idempotency key has run; this is its answer.
 *
 * @param answer the first answer
 */
public record Replayed(StoredAnswer answer) implements CellReply {}
