package org.marjoramnotch.model.replication;

/**
 * Tells a replica that asks to join that the sender belongs to a group.
 *
 * @param group the group
 */
public record JoinReply(String group) implements ReplicationMessage {}
