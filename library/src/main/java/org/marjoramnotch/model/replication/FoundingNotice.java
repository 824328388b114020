package org.marjoramnotch.model.replication;

/**
 * Announces a group that was founded anew to its voters.
 *
 * @param membership the first membership of the group
 */
public record FoundingNotice(Membership membership) implements FoundingMessage {}
