package org.marjoramnotch.model.replication;

/**
 * Asks the receiver to start an election at once; the sender has given up its leader lease.
 *
 * @param group the group of the leader
 * @param term the leader's term
 */
public record TimeoutNow(String group, long term) implements ReplicationMessage {}
