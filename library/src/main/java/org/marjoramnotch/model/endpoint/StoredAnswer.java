package org.marjoramnotch.model.endpoint;

/**
 * A short answer kept for resends of an idempotent request.
 *
 * @param status HTTP status
 * @param contentType HTTP content type
 * @param body the whole body
 */
public record StoredAnswer(int status, String contentType, byte[] body) {
    /** Longest body that is kept. */
    public static final int MAXIMUM_BODY_BYTES = 4096;
}
