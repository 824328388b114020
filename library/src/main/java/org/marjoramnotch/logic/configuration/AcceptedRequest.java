package org.marjoramnotch.logic.configuration;

import org.marjoramnotch.model.identifier.RequestId;

/**
 * A change that was accepted, kept to answer its resends.
 *
 * @param request names the request
 * @param contentSha256 SHA-256 of what was asked, hexadecimal
 * @param version the version that the change led to
 */
public record AcceptedRequest(RequestId request, String contentSha256, long version) {}
