package org.marjoramnotch.daemon.endpoint;

import org.apache.pekko.http.javadsl.model.ContentType;
import org.apache.pekko.util.ByteString;

/**
 * An endpoint's answer, received whole.
 *
 * @param status HTTP status
 * @param contentType HTTP content type
 * @param body the whole body
 */
public record CompleteAnswer(int status, ContentType contentType, ByteString body) {}
