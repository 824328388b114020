package org.marjoramnotch.model.message;

import org.marjoramnotch.model.error.Refusal;

/**
 * The request took no effect.
 *
 * @param refusal why
 */
public record Refused(Refusal refusal) implements CellReply {}
