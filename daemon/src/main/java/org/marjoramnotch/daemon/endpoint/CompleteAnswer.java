package org.marjoramnotch.daemon.endpoint;

/**
 * An answer of an endpoint that was received completely.
 *
 * @param status the HTTP status
 * @param contentType the HTTP content type; empty for none
 * @param body the complete body
 */
public record CompleteAnswer(int status, String contentType, byte[] body) {}
