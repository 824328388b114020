package org.marjoramnotch.daemon.entry;

import org.marjoramnotch.daemon.endpoint.EndpointRequest;
import org.marjoramnotch.logic.entry.EntryRequest;

/**
 * A caller's request, as submitted to the entry.
 *
 * @param request the data of the request that the leader needs
 * @param forwarded the request to send to the endpoint, without the headers of the attempt
 */
public record CallerRequest(EntryRequest request, EndpointRequest forwarded) {}
