package org.marjoramnotch.model.replication;

/** Tells what an entry of the log holds. */
public enum EntryKind {
    /** Nothing; starts a leader's term. */
    NO_OP,
    /** A payload of the host. */
    PAYLOAD,
    /** The members of the group from this entry on. */
    MEMBERSHIP
}
