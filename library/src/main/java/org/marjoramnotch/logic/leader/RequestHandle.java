package org.marjoramnotch.logic.leader;

/**
 * Names a request that awaits its reply.
 *
 * @param link the link that it came by
 * @param correlation its number on that link
 */
public record RequestHandle(String link, long correlation) {}
