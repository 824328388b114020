package org.marjoramnotch.logic.leader;

/**
 * Identifies a request that awaits its reply.
 *
 * @param link the link on which the request arrived
 * @param correlation the number of the request on that link
 */
public record RequestHandle(String link, long correlation) {}
