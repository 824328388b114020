package org.marjoramnotch.logic.replication;

/** A decision of a replica about the founding of a group. */
public enum FoundingDecision {
    /** This replica has founded a group anew with the other seeds. */
    FOUNDED_ANEW,
    /** This replica takes part in the group that the first seed has founded anew. */
    ADOPTED,
    /** This replica has given up its founding entry, since another group holds entries. */
    GIVEN_UP,
    /** This replica may hold entries of a leader, or knows a group that does. */
    REFUSED_NOT_BLANK,
    /** This replica knows other seeds, or holds the founding entry of others. */
    REFUSED_OTHER_SEEDS,
    /** Enough replicas hold one founding entry to elect a leader. */
    REFUSED_QUORUM_EXISTS,
    /** As many disks may be lost as a quorum has, so that empty seeds prove nothing. */
    REFUSED_TOO_MANY_LOSSES
}
