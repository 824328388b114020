package org.marjoramnotch.model.command;

/**
 * Removes the oldest idempotency claims whose requests have ended.
 *
 * @param count the largest number of claims to remove
 */
public record ForgetClaims(int count) implements Command {}
