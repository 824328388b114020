package org.marjoramnotch.model.replication;

/**
 * Attests that the sender holds no entry of a leader, so that it has acknowledged none.
 *
 * @param round the round of the {@link FoundingProbe}
 * @param group the group whose founding entry the sender holds; empty if it holds none
 */
public record FoundingAttestation(long round, String group) implements FoundingMessage {}
