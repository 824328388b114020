package org.marjoramnotch.model.endpoint;

/** What an attempt holds at its endpoint. */
public enum SlotKind {
    /** A slot, for a quick request. */
    REQUEST,
    /** A connection beyond the slots, for a feed. */
    FEED
}
