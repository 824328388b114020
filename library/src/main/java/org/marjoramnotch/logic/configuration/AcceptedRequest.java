package org.marjoramnotch.logic.configuration;

import org.marjoramnotch.model.identifier.RequestId;

/**
 * An accepted change of the rules, kept so that resends get the same answer.
 *
 * @param request the identifier of the request
 * @param contentSha256 SHA-256 of the requested change, in hexadecimal
 * @param version the version that the change produced
 */
public record AcceptedRequest(RequestId request, String contentSha256, long version) {}
