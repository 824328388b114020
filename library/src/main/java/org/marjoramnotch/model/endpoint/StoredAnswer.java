package org.marjoramnotch.model.endpoint;

/**
 * A short answer that is stored for resends of a request with an idempotency key.
 *
 * @param status the HTTP status
 * @param contentType the HTTP content type
 * @param body the complete body
 */
public record StoredAnswer(int status, String contentType, byte[] body) {
    /** Maximum length of a body that is stored. */
    public static final int MAXIMUM_BODY_BYTES = 4096;
}
