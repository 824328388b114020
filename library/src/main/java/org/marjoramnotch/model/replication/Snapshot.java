package org.marjoramnotch.model.replication;

/**
 * The applied state that replaces all entries up to an index.
 *
 * @param index the last index that it covers
 * @param term the term of the entry at that index
 * @param membership the members at that index
 * @param state the encoded state of the host
 */
public record Snapshot(long index, long term, Membership membership, byte[] state) {}
