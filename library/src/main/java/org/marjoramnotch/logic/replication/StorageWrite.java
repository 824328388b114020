package org.marjoramnotch.logic.replication;

/** A change of a replica's stored state. */
public interface StorageWrite {}
