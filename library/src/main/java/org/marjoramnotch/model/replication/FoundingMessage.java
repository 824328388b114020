package org.marjoramnotch.model.replication;

/** A message between seeds that found a group anew. */
public sealed interface FoundingMessage extends ReplicationMessage
        permits FoundingProbe, FoundingAttestation, FoundingNotice {}
