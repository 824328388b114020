package org.marjoramnotch.daemon.endpoint;

import org.apache.pekko.http.javadsl.model.ContentType;
import org.apache.pekko.util.ByteString;

/**
 * An answer of an endpoint that was received completely.
 *
 * @param status the HTTP status
 * @param contentType the HTTP content type
 * @param body the complete body
 */
public record CompleteAnswer(int status, ContentType contentType, ByteString body) {}
