package org.marjoramnotch.model.endpoint;

/**
 * A claim of an idempotency key for one request of a team.
 *
 * @param keyDigest SHA-256 of the idempotency key, hexadecimal
 * @param requestDigest SHA-256 of the path and body, hexadecimal
 */
public record IdempotencyClaim(String keyDigest, String requestDigest) {}
