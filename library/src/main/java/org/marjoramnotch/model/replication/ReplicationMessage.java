package org.marjoramnotch.model.replication;

/** A message between two replicas of a log. */
public interface ReplicationMessage {}
