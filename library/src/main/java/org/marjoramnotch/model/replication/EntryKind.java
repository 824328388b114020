package org.marjoramnotch.model.replication;

/** The kind of content that an entry of the log holds. */
public enum EntryKind {
    /** No content; the entry starts a leader's term. */
    NO_OP,
    /** A payload of the host. */
    PAYLOAD,
    /** The members of the group from this entry on. */
    MEMBERSHIP
}
