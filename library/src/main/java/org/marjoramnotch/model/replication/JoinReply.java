package org.marjoramnotch.model.replication;

/**
 * Informs a replica that the sender belongs to a group; sent in reply to a {@link JoinRequest} and
 * by leaders as an announcement.
 *
 * @param group the group
 */
public record JoinReply(String group) implements ReplicationMessage {}
