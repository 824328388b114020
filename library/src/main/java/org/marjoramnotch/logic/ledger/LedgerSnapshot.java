package org.marjoramnotch.logic.ledger;

/** The whole state at one index of the log. */
public record LedgerSnapshot() {}
