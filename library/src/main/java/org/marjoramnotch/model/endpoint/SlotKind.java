package org.marjoramnotch.model.endpoint;

/** The kind of resource that an attempt holds at its endpoint. */
public enum SlotKind {
    /** A slot for a quick request. */
    REQUEST,
    /** A connection for a feed, in addition to the slots. */
    FEED
}
