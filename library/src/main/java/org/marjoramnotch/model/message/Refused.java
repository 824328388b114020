package org.marjoramnotch.model.message;

import org.marjoramnotch.model.error.Refusal;

/**
 * Reports that the request had no effect.
 *
 * @param refusal the reason
 */
public record Refused(Refusal refusal) implements CellReply {}
