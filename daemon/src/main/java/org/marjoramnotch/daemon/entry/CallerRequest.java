package org.marjoramnotch.daemon.entry;

import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.marjoramnotch.logic.entry.EntryRequest;

/**
 * A caller's request as it is to be carried.
 *
 * @param request what the leader has to know of it
 * @param forwarded what the endpoint is sent, without the headers of the attempt
 */
public record CallerRequest(EntryRequest request, HttpRequest forwarded) {}
