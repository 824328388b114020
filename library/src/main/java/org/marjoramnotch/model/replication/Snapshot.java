package org.marjoramnotch.model.replication;

/**
 * The applied state that stands for all entries up to an index.
 *
 * @param index the last index that it covers
 * @param term the term of the entry at that index
 * @param membership the members at that index
 * @param state the state of the host
 */
public record Snapshot(long index, long term, Membership membership, byte[] state) {}
