package org.marjoramnotch.model.command;

/**
 * Forgets the oldest idempotency claims whose requests have ended.
 *
 * @param count how many at the most
 */
public record ForgetClaims(int count) implements Command {}
